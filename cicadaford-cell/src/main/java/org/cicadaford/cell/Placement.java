package org.cicadaford.cell;

import java.util.OptionalLong;
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

  private static final int FULL_PERCENT = 100;

  private final Task task;
  private final int run;
  private final Worker worker;
  private final long incarnation;
  private final Resources reservation;
  private Stage stage = Stage.STARTING;
  private boolean orderSent;
  private StopReason stopReason;
  private OptionalLong stopSentAtMillis = OptionalLong.empty();
  private OptionalLong stopConfirmedAtMillis = OptionalLong.empty();
  private OptionalLong uncertainSinceMillis = OptionalLong.empty();
  private OptionalLong confirmedAtMillis = OptionalLong.empty();
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

  /** Returns whether its start was sent longer ago than {@code millis} and is not answered. */
  boolean startOpenFor(long nowMillis, long millis) {
    return stage == Stage.STARTING && orderSent && nowMillis - orderedAtMillis > millis;
  }

  long orderedAtMillis() {
    return orderedAtMillis;
  }

  void confirmed(long nowMillis) {
    if (stage != Stage.RUNNING) {
      worker.settled(this);
      stage = Stage.RUNNING;
      confirmedAtMillis = OptionalLong.of(nowMillis);
      progressAtMillis = nowMillis;
    }
  }

  /** Returns whether a report on an order sent at a time must show the run, if it is present. */
  boolean confirmedBefore(long atMillis) {
    return isBefore(confirmedAtMillis, atMillis);
  }

  /**
   * Returns whether an event came before an order was sent. One that came in the same millisecond
   * counts: the worker acted before it answered, so before an order that is sent then arrives.
   */
  private static boolean isBefore(OptionalLong eventMillis, long sentAtMillis) {
    return eventMillis.isPresent() && eventMillis.getAsLong() <= sentAtMillis;
  }

  /**
   * Takes over a run that an earlier coordinator may have ordered just now. Its order may arrive
   * after the worker has reported to this coordinator, and not all workers refuse orders of an
   * earlier epoch; so a run that is not shown is stopped before the task is placed again.
   */
  void restored(long nowMillis) {
    orderSent(nowMillis);
    uncertain(nowMillis);
  }

  void uncertain(long nowMillis) {
    stage = Stage.UNCERTAIN;
    worker.unsettled(this);
    uncertainSinceMillis = OptionalLong.of(nowMillis);
  }

  /** Returns the time since which it is not known whether the run has begun, if that is so. */
  OptionalLong uncertainSinceMillis() {
    return stage == Stage.UNCERTAIN ? uncertainSinceMillis : OptionalLong.empty();
  }

  /** Returns whether it was uncertain before a time whether the run has begun. */
  boolean uncertainBefore(long atMillis) {
    return isBefore(uncertainSinceMillis(), atMillis);
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

  /** Returns whether a stop is on its way that was sent at most {@code millis} ago. */
  boolean stopSentWithin(long nowMillis, long millis) {
    return ElapsedTime.within(stopSentAtMillis, nowMillis, millis);
  }

  boolean stopSent() {
    return stopSentAtMillis.isPresent();
  }

  void stopSent(long nowMillis) {
    stopSentAtMillis = OptionalLong.of(nowMillis);
  }

  boolean stopConfirmed() {
    return stopConfirmedAtMillis.isPresent();
  }

  /** Returns whether the worker confirmed before a time that the run will not start any more. */
  boolean stopConfirmedBefore(long atMillis) {
    return isBefore(stopConfirmedAtMillis, atMillis);
  }

  void stopConfirmed(long nowMillis) {
    if (!stopConfirmed()) {
      stopConfirmedAtMillis = OptionalLong.of(nowMillis);
    }
  }

  /** Notes that the run is still present long after its stop was confirmed. */
  void stopIneffective() {
    stopConfirmedAtMillis = OptionalLong.empty();
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

  int progressPercent() {
    return progressPercent;
  }

  /** Returns whether a task that lasts is at work: running, and started up. */
  boolean atWork() {
    return stage == Stage.RUNNING && !stopWanted() && progressPercent >= FULL_PERCENT;
  }

  long progressAtMillis() {
    return progressAtMillis;
  }

  String checkpoint() {
    return checkpoint;
  }
}
