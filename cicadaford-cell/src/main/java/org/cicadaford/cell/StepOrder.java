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
 *
 * <p>While a service is short, teams within their share go before teams beyond it at the same
 * priority. Work of a team within its share that has been past its useful start for long goes, at
 * any priority, before the work of teams beyond their share, so that an overloaded team does not
 * starve less urgent work of the others.
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

  /** Position of a step among those of the same priority, or of the most urgent one if raised. */
  private enum Standing {
    WAITED_TOO_LONG,
    WITHIN_SHARE,
    RAISED,
    BEYOND_SHARE,
    EXCESS
  }

  /**
   * Returns the order that applies at a Unix time, with the shares of the services that are short.
   */
  static Comparator<StepRun> at(long unixMillis, ShortageMonitor shortages) {
    Comparator<StepRun> withoutShortage = at(unixMillis);
    if (!shortages.anyShort()) {
      return withoutShortage;
    }
    return Comparator.<StepRun>comparingInt(
            step -> raised(step, unixMillis, shortages) ? 0 : step.job().queue().priority())
        .thenComparing(step -> standing(step, unixMillis, shortages))
        .thenComparing(withoutShortage);
  }

  private static Standing standing(StepRun step, long unixMillis, ShortageMonitor shortages) {
    if (raised(step, unixMillis, shortages)) {
      return Standing.RAISED;
    }
    if (status(step, unixMillis) == ObjectiveStatus.WAITED_TOO_LONG) {
      return Standing.WAITED_TOO_LONG;
    }
    if (step.job().definition().excess()) {
      return Standing.EXCESS;
    }
    return shortages.exceedsShare(step) ? Standing.BEYOND_SHARE : Standing.WITHIN_SHARE;
  }

  /** Returns whether a step with a less urgent priority goes before teams beyond their share. */
  private static boolean raised(StepRun step, long unixMillis, ShortageMonitor shortages) {
    return step.job().queue().priority() > 0
        && status(step, unixMillis) == ObjectiveStatus.WAITED_TOO_LONG
        && shortages.isShort(step)
        && !step.job().definition().excess()
        && !shortages.exceedsShare(step);
  }

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
