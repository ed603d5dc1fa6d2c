package org.cicadaford.cell;

import java.util.Comparator;

/**
 * Orders waiting steps for placement, advice and the limit of their team.
 *
 * <p>Designed for more work than fits, after a burst or a takeover: in order of age, each job waits
 * until it has missed its objective. Work that can still meet its objective goes first, in order of
 * its latest start; then late work whose result is still useful; then the rest by age. Work that
 * has been past its useful start for long goes before all other work of its priority, which
 * prevents starvation.
 */
final class StepOrder {

  /** Time after the latest useful start at which a step takes precedence, in milliseconds. */
  static final long STARVATION_MILLIS = 20_000;

  /** Status of a step with regard to the objective of its job. */
  private enum ObjectiveStatus {
    WAITED_TOO_LONG,
    ON_TIME,
    LATE,
    OVERDUE
  }

  private StepOrder() {}

  /** Returns the order that applies at a Unix time. */
  static Comparator<StepRun> at(long unixMillis) {
    return Comparator.<StepRun>comparingInt(step -> step.job().queue().priority())
        .thenComparing(step -> status(step, unixMillis) != ObjectiveStatus.WAITED_TOO_LONG)
        .thenComparing(step -> step.job().definition().excess())
        .thenComparing(step -> status(step, unixMillis))
        .thenComparingLong(step -> rank(step, unixMillis))
        .thenComparing(StepRun::name);
  }

  private static ObjectiveStatus status(StepRun step, long unixMillis) {
    if (unixMillis <= step.latestOnTimeStartMillis()) {
      return ObjectiveStatus.ON_TIME;
    }
    if (unixMillis <= step.latestUsefulStartMillis()) {
      return ObjectiveStatus.LATE;
    }
    return unixMillis <= step.latestUsefulStartMillis() + STARVATION_MILLIS
        ? ObjectiveStatus.OVERDUE
        : ObjectiveStatus.WAITED_TOO_LONG;
  }

  private static long rank(StepRun step, long unixMillis) {
    return switch (status(step, unixMillis)) {
      case ON_TIME -> step.latestOnTimeStartMillis();
      case LATE -> step.latestUsefulStartMillis();
      case OVERDUE, WAITED_TOO_LONG -> step.job().definition().acceptedAtMillis();
    };
  }
}
