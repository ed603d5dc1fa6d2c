package org.cicadaford.cell;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

/** A task of a step in one occurrence of a job. */
final class Task {

  /** Maximum number of workers that are avoided because the task has failed there. */
  static final int MAX_FAILED_ON = 100;

  private final StepRun step;
  private final int index;
  private final String name;
  private boolean done;
  private int lastRun;
  private int failedCount;
  private int crashCount;
  private int startLossCount;
  private int lastLostRun;
  private boolean preemptedBefore;
  private String checkpoint = "";
  private Placement placement;
  private OptionalLong firstPlacedAtMillis = OptionalLong.empty();
  private int unplacedRunCount;
  private PlacementReporter.Release lastRelease;
  private final Set<String> failedOn = new HashSet<>();

  Task(StepRun step, int index) {
    this.step = step;
    this.index = index;
    this.name = step.name() + "." + index;
  }

  StepRun step() {
    return step;
  }

  int index() {
    return index;
  }

  /** Returns {@code JOB.OCCURRENCE.STEP.INDEX}. */
  String name() {
    return name;
  }

  boolean done() {
    return done;
  }

  void markDone() {
    done = true;
    step.taskChanged(this);
  }

  int lastRun() {
    return lastRun;
  }

  void lastRun(int run) {
    lastRun = run;
  }

  int failedCount() {
    return failedCount;
  }

  void failedCount(int count) {
    failedCount = count;
  }

  /** Returns the number of workers whose connections closed right after they started the task. */
  int crashCount() {
    return crashCount;
  }

  /** Returns the number of workers that were lost and are not known to have survived its start. */
  int startLossCount() {
    return startLossCount;
  }

  void losses(int crashes, int startLosses) {
    crashCount = crashes;
    startLossCount = startLosses;
  }

  /** Returns the last run whose loss is counted, or 0. */
  int lastLostRun() {
    return lastLostRun;
  }

  void lastLostRun(int run) {
    lastLostRun = run;
  }

  /** Returns whether the last worker that started the task may have crashed because of it. */
  boolean suspected() {
    return startLossCount > 0;
  }

  /** Returns the tasks that start and end together with this one: all members of its gang. */
  List<Task> members() {
    return step.spec().gang() ? step.tasks() : List.of(this);
  }

  /** Returns whether this coordinator has preempted the task. */
  boolean preemptedBefore() {
    return preemptedBefore;
  }

  void markPreempted() {
    preemptedBefore = true;
  }

  String checkpoint() {
    return checkpoint;
  }

  /** Stores a checkpoint; the members of a gang share one. */
  void checkpoint(String newCheckpoint) {
    if (newCheckpoint.isEmpty()) {
      return;
    }
    checkpoint = newCheckpoint;
    if (step.spec().gang()) {
      step.tasks().forEach(member -> member.checkpoint = newCheckpoint);
    }
  }

  Placement placement() {
    return placement;
  }

  /** Returns how the last placement was released under this coordinator, or null. */
  PlacementReporter.Release lastRelease() {
    return lastRelease;
  }

  /** Returns whether a worker has reported the end of the run that was released last. */
  boolean endReported(int run, String workerId) {
    return lastRelease != null
        && lastRelease.endReported()
        && lastRelease.run() == run
        && lastRelease.workerId().equals(workerId);
  }

  void lastRelease(PlacementReporter.Release release) {
    lastRelease = release;
  }

  void place(Placement newPlacement) {
    Placement old = placement;
    placement = newPlacement;
    if (newPlacement != null && firstPlacedAtMillis.isEmpty()) {
      firstPlacedAtMillis = OptionalLong.of(newPlacement.placedAtMillis());
    }
    step.placementChanged(this, old, newPlacement);
  }

  /** Returns the time of its first placement under this coordinator. */
  OptionalLong firstPlacedAtMillis() {
    return firstPlacedAtMillis;
  }

  /** Records that a worker reports a run of this task that is not placed there. */
  void unplacedRunAdded() {
    unplacedRunCount++;
    step.unplacedRunsChanged(this, 1);
  }

  /** Records that a run which is not placed is over, or is placed now. */
  void unplacedRunRemoved() {
    unplacedRunCount--;
    step.unplacedRunsChanged(this, -1);
  }

  /** Returns whether a run that is not placed may go on, so that the task must not start. */
  boolean hasUnplacedRun() {
    return unplacedRunCount > 0;
  }

  /** Returns whether the task is to be placed: it is not done, and has no run. */
  boolean waiting() {
    return !done && placement == null && !hasUnplacedRun();
  }

  /**
   * Records that a run of the task has failed on a worker. A long-running task may fail on any
   * number of workers, so the set begins anew when it is full.
   */
  void recordFailureOn(String workerId) {
    if (failedOn.size() >= MAX_FAILED_ON) {
      failedOn.clear();
    }
    failedOn.add(workerId);
  }

  /** Returns workers on which runs of the task have failed. */
  Set<String> failedOn() {
    return failedOn;
  }
}
