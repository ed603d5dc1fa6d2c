package org.cicadaford.cell;

import java.util.Comparator;

/**
 * Order in which waiting steps are given room, advice and their team's limit.
 *
 * <p>The load that it answers is more work than fits, after a burst or a takeover: served by age,
 * each job waits until it has missed its objective. Here the work that can still meet its objective
 * goes first, the one with the least time to spare before the others; then work whose end is late
 * but of use; then the rest by age. Work that has been of no use for long gets its turn before all
 * other work of its priority, so that nothing waits without end.
 */
final class StepOrder {

  /** Time after the last useful start at which a step goes first, in milliseconds. */
  static final long OVERDUE_TURN_MILLIS = 20_000;

  /** What can still be reached for a job. */
  private enum Outlook {
    WAITED_TOO_LONG,
    ON_TIME,
    LATE,
    OVERDUE
  }

  private StepOrder() {}

  /** Returns the order at a Unix time. */
  static Comparator<StepRun> at(long unixMillis) {
    return Comparator.<StepRun>comparingInt(step -> step.job().queue().priority())
        .thenComparing(step -> outlook(step, unixMillis) != Outlook.WAITED_TOO_LONG)
        .thenComparing(step -> step.job().definition().excess())
        .thenComparing(step -> outlook(step, unixMillis))
        .thenComparingLong(step -> rank(step, unixMillis))
        .thenComparing(StepRun::name);
  }

  private static Outlook outlook(StepRun step, long unixMillis) {
    if (unixMillis <= step.onTimeStartMillis()) {
      return Outlook.ON_TIME;
    }
    if (unixMillis <= step.usefulStartMillis()) {
      return Outlook.LATE;
    }
    return unixMillis <= step.usefulStartMillis() + OVERDUE_TURN_MILLIS
        ? Outlook.OVERDUE
        : Outlook.WAITED_TOO_LONG;
  }

  private static long rank(StepRun step, long unixMillis) {
    return switch (outlook(step, unixMillis)) {
      case ON_TIME -> step.onTimeStartMillis();
      case LATE -> step.usefulStartMillis();
      case OVERDUE, WAITED_TOO_LONG -> step.job().definition().acceptedAtMillis();
    };
  }
}
