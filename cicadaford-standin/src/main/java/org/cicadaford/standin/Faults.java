package org.cicadaford.standin;

import java.util.Map;

/**
 * Defines the active faults of a stand-in; a field that is absent from the JSON body means no
 * fault.
 *
 * @param down whether every request is answered with status 503 and has no effect
 * @param slowMillis delay of the handling of each request
 * @param lostAnswers number of answers to drop after the request has taken effect
 * @param silence when set, all connections seen so far stop answering permanently
 * @param lagMillis lag of the membership list, or null for the configured value
 * @param expireBefore offset by stream; records below it expire immediately
 * @param failTasks whether a worker fails every task that it starts
 * @param paused whether answers, announcements and tasks are suspended until the fault is cleared
 * @param leaving whether the instance is announced as leaving
 * @param refuse whether an endpoint refuses each call before starting it
 * @param usagePercent percentage of their reserved resources that tasks use, or null for the
 *     configured value
 */
public record Faults(
    boolean down,
    long slowMillis,
    int lostAnswers,
    boolean silence,
    Long lagMillis,
    Map<String, Long> expireBefore,
    boolean failTasks,
    boolean paused,
    boolean leaving,
    boolean refuse,
    Integer usagePercent) {

  /** No active fault. */
  public static final Faults NONE =
      new Faults(false, 0, 0, false, null, null, false, false, false, false, null);

  /** Copies the map and replaces an absent map with an empty one. */
  public Faults {
    expireBefore = expireBefore == null ? Map.of() : Map.copyOf(expireBefore);
  }
}
