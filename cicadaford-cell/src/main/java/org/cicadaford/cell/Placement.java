package org.cicadaford.cell;

import org.cicadaford.model.Resources;

/** One run of a task on a worker, from the decision until its end is known. */
final class Placement {

  /** Stages of a placement. */
  enum Stage {
    /** The start is being stored or is on its way. */
    STARTING,
    /** The worker has confirmed the run. */
    RUNNING,
    /** It is not known whether the worker has started the run. */
    UNCERTAIN
  }

  private final Task task;
  private final int run;
  private final Worker worker;
  private final long incarnation;
  private final Resources reservation;
  private Stage stage = Stage.STARTING;
  private boolean orderSent;
  private StopReason stopReason;
  private long stopSentAtMillis = Long.MIN_VALUE;
  private long stopConfirmedAtMillis = Long.MAX_VALUE;
  private long uncertainSinceMillis = Long.MAX_VALUE;
  private long confirmedAtMillis = Long.MAX_VALUE;
  private long orderedAtMillis;
  private int progressPercent = -1;
  private long progressAtMillis;
  private String checkpoint = "";

  Placement(Task task, int run, Worker worker, long incarnation, long nowMillis) {
    this.task = task;
    this.run = run;
    this.worker = worker;
    this.incarnation = incarnation;
    this.reservation = task.step().spec().reservation();
    this.orderedAtMillis = nowMillis;
    this.progressAtMillis = nowMillis;
  }

  Task task() {
    return task;
  }

  int run() {
    return run;
  }

  Worker worker() {
    return worker;
  }

  long incarnation() {
    return incarnation;
  }

  Resources reservation() {
    return reservation;
  }

  Stage stage() {
    return stage;
  }

  boolean orderSent() {
    return orderSent;
  }

  void orderSent(long nowMillis) {
    orderSent = true;
    orderedAtMillis = nowMillis;
    progressAtMillis = nowMillis;
  }

  long orderedAtMillis() {
    return orderedAtMillis;
  }

  void confirmed(long nowMillis) {
    if (stage != Stage.RUNNING) {
      stage = Stage.RUNNING;
      confirmedAtMillis = nowMillis;
      progressAtMillis = nowMillis;
    }
  }

  long confirmedAtMillis() {
    return confirmedAtMillis;
  }

  /**
   * Takes over a run that an earlier coordinator has ordered. Once the worker has answered this
   * coordinator, its higher epoch keeps orders of the earlier one from being carried out.
   */
  void restored(long nowMillis) {
    stage = Stage.UNCERTAIN;
    orderSent = true;
    orderedAtMillis = Long.MIN_VALUE / 2;
    stopConfirmedAtMillis = nowMillis;
  }

  void uncertain(long nowMillis) {
    stage = Stage.UNCERTAIN;
    uncertainSinceMillis = nowMillis;
  }

  long uncertainSinceMillis() {
    return uncertainSinceMillis;
  }

  boolean stopWanted() {
    return stopReason != null;
  }

  /** Returns why the run is to be stopped, or null if it is not. */
  StopReason stopReason() {
    return stopReason;
  }

  void wantStop(StopReason reason) {
    if (stopReason == null) {
      stopReason = reason;
    }
  }

  long stopSentAtMillis() {
    return stopSentAtMillis;
  }

  void stopSent(long nowMillis) {
    stopSentAtMillis = nowMillis;
  }

  /** Returns the time at which the worker confirmed that the run will not start any more. */
  long stopConfirmedAtMillis() {
    return stopConfirmedAtMillis;
  }

  void stopConfirmed(long nowMillis) {
    stopConfirmedAtMillis = Math.min(stopConfirmedAtMillis, nowMillis);
  }

  void progress(int percent, String newCheckpoint, long nowMillis) {
    if (percent != progressPercent) {
      progressPercent = percent;
      progressAtMillis = nowMillis;
    }
    if (!newCheckpoint.isEmpty()) {
      checkpoint = newCheckpoint;
    }
  }

  long progressAtMillis() {
    return progressAtMillis;
  }

  String checkpoint() {
    return checkpoint;
  }
}
