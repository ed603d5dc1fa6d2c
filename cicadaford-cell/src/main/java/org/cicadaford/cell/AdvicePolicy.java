package org.cicadaford.cell;

/**
 * Duration and validity of placement advice for a queue.
 *
 * @param decideMillis fixed duration of a call, in milliseconds
 * @param perWorkerMillis additional duration per named worker, in milliseconds
 * @param validMillis time for which a ticket is valid, in milliseconds; 0 if none is required
 */
public record AdvicePolicy(double decideMillis, double perWorkerMillis, long validMillis) {

  /** Policy of a queue whose tasks require no advice. */
  public static final AdvicePolicy NONE = new AdvicePolicy(0, 0, 0);

  /** Returns whether tasks of the queue start only with a ticket. */
  public boolean required() {
    return validMillis > 0;
  }

  /** Returns the duration of a call that names {@code workerCount} workers, in milliseconds. */
  public long callMillis(int workerCount) {
    return (long) Math.ceil(decideMillis + perWorkerMillis * workerCount);
  }
}
