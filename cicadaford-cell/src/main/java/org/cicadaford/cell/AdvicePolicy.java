package org.cicadaford.cell;

/**
 * States how long the placement advice of a queue takes and how long it holds.
 *
 * @param decideMillis fixed time of a call in milliseconds
 * @param perWorkerMillis further time for each worker named, in milliseconds
 * @param validMillis time for which a ticket is accepted, in milliseconds; 0 if no advice is needed
 */
public record AdvicePolicy(double decideMillis, double perWorkerMillis, long validMillis) {

  /** Policy of a queue whose tasks need no advice. */
  public static final AdvicePolicy NONE = new AdvicePolicy(0, 0, 0);

  /** Returns whether tasks of the queue may start only with a ticket. */
  public boolean required() {
    return validMillis > 0;
  }

  /** Returns the time that a call with {@code workerCount} workers takes, in milliseconds. */
  public long callMillis(int workerCount) {
    return (long) Math.ceil(decideMillis + perWorkerMillis * workerCount);
  }
}
