package org.cicadaford.cell.gang;

/** Estimates how long a run goes on. */
@FunctionalInterface
public interface RemainingTime {

  /** Minimum progress for an estimate from the progress, in percent. */
  int MIN_PROGRESS_PERCENT = 5;

  /** Progress of a run that is complete, in percent. */
  int FULL_PERCENT = 100;

  /** Returns the expected remaining time of a run, in milliseconds; at least 0. */
  long remainingMillis(RunProgress run, long nowMillis);

  /** Returns an estimate from the progress of a run, or from the submitter's estimate. */
  static RemainingTime fromProgress() {
    return (run, nowMillis) -> {
      long workedMillis = nowMillis - run.startedAtMillis();
      if (run.percent() < MIN_PROGRESS_PERCENT) {
        return Math.max(0, run.estimateMillis() - workedMillis);
      }
      long measuredMillis = run.percentAtMillis() - run.startedAtMillis();
      return Math.max(0, measuredMillis * FULL_PERCENT / run.percent() - workedMillis);
    };
  }
}
