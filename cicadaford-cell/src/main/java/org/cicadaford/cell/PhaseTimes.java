package org.cicadaford.cell;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Splits the duration of a step by the phases of the task that completed it, to explain why a job
 * was late.
 *
 * <p>Waiting times tell what a step waited for before its first tasks were placed. The phases also
 * show the time that repeated runs, the store and unanswered orders took.
 */
final class PhaseTimes {

  /** Phases of the task that completed a step, in order. */
  enum Phase {
    /** From the first attempt to place the step to the first placement of the task. */
    PLACE,
    /** From the first placement of the task to its last one, with runs that were lost. */
    REPEAT,
    /** From the last placement to the start order, while the placement is stored. */
    STORE,
    /** From the start order to its confirmation. */
    ORDER,
    /** From the confirmation to the report of the end. */
    RUN
  }

  private final Map<Phase, Long> millisByPhase = new EnumMap<>(Phase.class);

  /** Adds the phases of a step that is completed by the end of a run. */
  void addStep(StepRun step, Placement last, long nowMillis) {
    long firstPlacedAtMillis = last.task().firstPlacedAtMillis().orElse(last.placedAtMillis());
    long confirmedAtMillis = last.confirmedAtMillis().orElse(last.orderedAtMillis());
    add(Phase.PLACE, firstPlacedAtMillis - step.readyAtMillis().orElse(firstPlacedAtMillis));
    add(Phase.REPEAT, last.placedAtMillis() - firstPlacedAtMillis);
    add(Phase.STORE, last.orderedAtMillis() - last.placedAtMillis());
    add(Phase.ORDER, confirmedAtMillis - last.orderedAtMillis());
    add(Phase.RUN, nowMillis - confirmedAtMillis);
  }

  /** Adds the phases of other steps. */
  void add(PhaseTimes other) {
    other.millisByPhase.forEach(this::add);
  }

  private void add(Phase phase, long millis) {
    millisByPhase.merge(phase, millis, Long::sum);
  }

  /** Returns the durations as {@code phase:milliseconds} pairs, for the log. */
  String summary() {
    return millisByPhase.entrySet().stream()
        .map(entry -> entry.getKey().name().toLowerCase(Locale.ROOT) + ":" + entry.getValue())
        .collect(Collectors.joining(","));
  }
}
