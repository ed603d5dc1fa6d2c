package org.cicadaford.cell;

import java.util.OptionalLong;
import org.cicadaford.model.Resources;

/** A run of a task on a worker, from the placement until its end is known. */
final class Placement {

  /** Stages of a placement. */
  enum Stage {
    /** The start is being stored or its order is in transit. */
    STARTING,
    /** The worker has confirmed the run. */
    RUNNING,
    /** It is unknown whether the worker has started the run. */
    UNCERTAIN
  }

  private static final int FULL_PERCENT = 100;

  /**
   * Time after the confirmation of a start by which a worker has crashed if the task crashes it, in
   * milliseconds. Crashes were seen 10 ms after the start; the rest is for slow links.
   */
  private static final long START_SURVIVAL_MILLIS = 150;

  /**
   * Time after a start within which the connections of its worker close if the task crashes it, in
   * milliseconds. Without an open request, the report that is requested once the start should be
   * survived shows it.
   */
  private static final long MAX_CRASH_DELAY_MILLIS = START_SURVIVAL_MILLIS + 100;

  /** Maximum time from a start order to its confirmation for which the start of a run is known. */
  private static final long MAX_START_ERROR_MILLIS = 100;

  private final Task task;
  private final int run;
  private final Worker worker;
  private long incarnation;
  private final Resources reservation;
  private final long placedAtMillis;
  private Stage stage = Stage.STARTING;
  private boolean orderSent;
  private StopReason stopReason;
  private OptionalLong stopSentAtMillis = OptionalLong.empty();
  private OptionalLong stopConfirmedAtMillis = OptionalLong.empty();
  private OptionalLong uncertainSinceMillis = OptionalLong.empty();
  private OptionalLong confirmedAtMillis = OptionalLong.empty();
  private long confirmedEvent;
  private long uncertainEvent;
  private long stopConfirmedEvent;
  private long orderedEvent;
  private long orderedAtMillis;
  private int progressPercent = -1;
  private long progressAtMillis;
  private String checkpoint = "";
  private long savedAtMillis;
  private boolean survivalChecked;
  private boolean restored;
  private final boolean resumed;
  private boolean overdue;
  private boolean longRunProven;

  Placement(Task task, int run, Worker worker, long incarnation, long nowMillis) {
    this.task = task;
    this.run = run;
    this.worker = worker;
    this.incarnation = incarnation;
    this.reservation = task.step().spec().reservation();
    this.placedAtMillis = nowMillis;
    this.orderedAtMillis = nowMillis;
    this.progressAtMillis = nowMillis;
    this.resumed = !task.checkpoint().isEmpty();
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

  /** Moves the placement to a later incarnation of its worker, which may carry out its order. */
  void incarnation(long laterIncarnation) {
    incarnation = laterIncarnation;
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

  void orderSent(long eventNumber, long nowMillis) {
    orderSent = true;
    orderedEvent = eventNumber;
    orderedAtMillis = nowMillis;
    progressAtMillis = nowMillis;
  }

  long placedAtMillis() {
    return placedAtMillis;
  }

  /** Returns whether its start order was sent more than {@code millis} ago and is unanswered. */
  boolean startUnansweredFor(long nowMillis, long millis) {
    return stage == Stage.STARTING && orderSent && nowMillis - orderedAtMillis > millis;
  }

  long orderedAtMillis() {
    return orderedAtMillis;
  }

  void markConfirmed(long eventNumber, long nowMillis) {
    if (stage != Stage.RUNNING) {
      confirmedEvent = eventNumber;
      worker.markConfirmed(this);
      stage = Stage.RUNNING;
      confirmedAtMillis = OptionalLong.of(nowMillis);
      progressAtMillis = nowMillis;
    }
  }

  OptionalLong confirmedAtMillis() {
    return confirmedAtMillis;
  }

  /** Returns whether the worker was alive so long after the start that the run did not crash it. */
  boolean survivedStart(OptionalLong lastSignOfLifeMillis) {
    return stage == Stage.RUNNING
        && lastSignOfLifeMillis.isPresent()
        && lastSignOfLifeMillis.getAsLong() >= survivalStartMillis() + START_SURVIVAL_MILLIS;
  }

  /** Returns whether the connection to the worker closed so soon that the start is the cause. */
  boolean startedJustBefore(OptionalLong disconnectedAtMillis) {
    if (restored || disconnectedAtMillis.isEmpty()) {
      // A new coordinator does not know when a worker was lost that it has not heard from.
      return false;
    }
    // The answer to the start may arrive after the connections of its worker have closed.
    long startMillis =
        survivalStartMillis() > disconnectedAtMillis.getAsLong()
            ? orderedAtMillis
            : survivalStartMillis();
    long sinceMillis = disconnectedAtMillis.getAsLong() - startMillis;
    return sinceMillis >= 0 && sinceMillis <= MAX_CRASH_DELAY_MILLIS;
  }

  /**
   * Returns the time for which the run has worked on its whole task, if its start is known and it
   * did not resume from a checkpoint.
   */
  OptionalLong runMillis(long nowMillis) {
    boolean startKnown =
        !restored
            && confirmedAtMillis.isPresent()
            && confirmedAtMillis.getAsLong() - orderedAtMillis <= MAX_START_ERROR_MILLIS;
    return startKnown && !resumed
        ? OptionalLong.of(nowMillis - confirmedAtMillis.getAsLong())
        : OptionalLong.empty();
  }

  /** Returns whether the run was found to be overdue. */
  boolean overdue() {
    return overdue;
  }

  void markOverdue() {
    overdue = true;
    task.step().taskChanged(task);
  }

  private long survivalStartMillis() {
    return restored ? orderedAtMillis : confirmedAtMillis.orElse(orderedAtMillis);
  }

  /** Returns once whether a report requested now would show that the worker survived the start. */
  boolean takeSurvivalCheck(long nowMillis) {
    boolean due =
        !survivalChecked
            && stage == Stage.RUNNING
            && ElapsedTime.isOlderThan(confirmedAtMillis, nowMillis, START_SURVIVAL_MILLIS);
    survivalChecked |= due;
    return due;
  }

  OptionalLong stopConfirmedAtMillis() {
    return stopConfirmedAtMillis;
  }

  /**
   * Returns whether the answer to a request must list the run, if it is there.
   *
   * @param requestNumber number of the last event before the request was sent
   */
  boolean confirmedBefore(long requestNumber) {
    return confirmedAtMillis.isPresent() && confirmedEvent <= requestNumber;
  }

  /** Returns whether the order, and the confirmation if there is one, precede a request. */
  boolean precedes(long requestNumber) {
    long event = stage == Stage.RUNNING ? confirmedEvent : orderedEvent;
    return orderSent && event <= requestNumber;
  }

  /**
   * Takes over a run that an earlier coordinator may have ordered just before. Its order may arrive
   * after the worker has reported to this coordinator, and not all workers refuse orders of an
   * earlier epoch; therefore a run that is not reported is stopped before its task is placed again.
   */
  void markRestored(long eventNumber, long nowMillis) {
    restored = true;
    orderSent(eventNumber, nowMillis);
    markUncertain(eventNumber, nowMillis);
  }

  void markUncertain(long eventNumber, long nowMillis) {
    stage = Stage.UNCERTAIN;
    uncertainEvent = eventNumber;
    worker.markUnconfirmed(this);
    uncertainSinceMillis = OptionalLong.of(nowMillis);
  }

  /** Returns the time since which it is unknown whether the run has started, if it is. */
  OptionalLong uncertainSinceMillis() {
    return stage == Stage.UNCERTAIN ? uncertainSinceMillis : OptionalLong.empty();
  }

  /** Returns whether it was unknown before a request whether the run had started. */
  boolean uncertainBefore(long requestNumber) {
    return stage == Stage.UNCERTAIN && uncertainEvent <= requestNumber;
  }

  boolean stopRequested() {
    return stopReason != null;
  }

  /** Returns the reason for stopping the run, or null if no stop is requested. */
  StopReason stopReason() {
    return stopReason;
  }

  void requestStop(StopReason reason) {
    if (stopReason == null) {
      stopReason = reason;
    }
  }

  /** Returns whether a stop order was sent at most {@code millis} ago. */
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

  /** Returns whether the worker confirmed before a request that the run will not start any more. */
  boolean stopConfirmedBefore(long requestNumber) {
    return stopConfirmed() && stopConfirmedEvent <= requestNumber;
  }

  void stopConfirmed(long eventNumber, long nowMillis) {
    if (!stopConfirmed()) {
      stopConfirmedEvent = eventNumber;
      stopConfirmedAtMillis = OptionalLong.of(nowMillis);
    }
  }

  /** Forgets the stops that an earlier incarnation of the worker has received. */
  void forgetStops() {
    stopSentAtMillis = OptionalLong.empty();
    stopConfirmedAtMillis = OptionalLong.empty();
  }

  /** Records that the run is still reported long after its stop was confirmed. */
  void clearStopConfirmation() {
    stopConfirmedAtMillis = OptionalLong.empty();
  }

  void progress(int percent, String newCheckpoint, long nowMillis) {
    if (percent != progressPercent) {
      progressPercent = percent;
      progressAtMillis = nowMillis;
    }
    if (!newCheckpoint.isEmpty() && !newCheckpoint.equals(checkpoint)) {
      checkpoint = newCheckpoint;
      savedAtMillis = nowMillis;
    }
  }

  int progressPercent() {
    return progressPercent;
  }

  /** Returns whether a long-running task is available: running and fully started. */
  boolean fullyStarted() {
    return stage == Stage.RUNNING && !stopRequested() && progressPercent >= FULL_PERCENT;
  }

  long progressAtMillis() {
    return progressAtMillis;
  }

  String checkpoint() {
    return checkpoint;
  }

  /** Returns whether a long-running task has run so long that its worker is able to run it. */
  boolean provenLongRun(long nowMillis) {
    return task.step().spec().longRunning()
        && stage == Stage.RUNNING
        && ElapsedTime.isOlderThan(confirmedAtMillis, nowMillis, WorkerQuarantine.PROVEN_MILLIS);
  }

  /** Returns whether it was a long-running probe of its worker that has run long enough. */
  boolean longRunProven() {
    return longRunProven;
  }

  void markLongRunProven() {
    longRunProven = true;
  }

  /** Returns the time worked since the start order or the last reported checkpoint. */
  long unsavedMillis(long nowMillis) {
    return nowMillis - Math.max(orderedAtMillis, savedAtMillis);
  }
}
