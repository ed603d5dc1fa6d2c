package org.cicadaford.standin;

import java.util.Map;

/**
 * Fault switches of one stand-in; absent fields of the JSON body mean no fault.
 *
 * @param down every request is answered with status 503 and has no effect
 * @param slowMillis time by which handling is delayed
 * @param lostAnswers number of answers that are lost after the request took effect
 * @param silence when posted, all connections open at that moment go silent for good
 * @param lagMillis lag of the membership list, or null for the configured one
 * @param expireBefore offset by stream below which records expire at once
 * @param failTasks a worker fails each task that it starts
 * @param paused nothing is answered, announced or run until the switch is off again
 * @param leaving the instance is announced as leaving
 * @param refuse an endpoint refuses each call before it starts
 * @param usagePercent what tasks use of what they reserved, or null for the configured value
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

  /** No fault. */
  public static final Faults NONE =
      new Faults(false, 0, 0, false, null, null, false, false, false, false, null);

  /** Replaces an absent map by an empty one. */
  public Faults {
    expireBefore = expireBefore == null ? Map.of() : Map.copyOf(expireBefore);
  }
}
