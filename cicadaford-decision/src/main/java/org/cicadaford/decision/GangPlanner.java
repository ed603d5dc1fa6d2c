package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cicadaford.decision.TaskStatus.Phase;
import org.cicadaford.decision.WaitingIndex.QueueKey;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.Resources;

/**
 * Starts and stops gang jobs as a unit, and reserves workers for those that have waited long.
 *
 * <p>A waiting gang job holds no capacity, so gang jobs cannot deadlock. At most one gang job of
 * the zone has workers reserved, for a limited time: capacity that becomes free there is kept for
 * it, and preemptible work there is stopped.
 */
final class GangPlanner {

  /** Time for which a gang job waits before workers are reserved for it, in milliseconds. */
  static final long RESERVE_AFTER_MILLIS = 30_000;

  /**
   * Maximum duration of a reservation, in milliseconds; other gang jobs are considered after it.
   */
  static final long MAX_RESERVATION_MILLIS = 300_000;

  /** Time from the start of a reservation after which work is preempted for it, in milliseconds. */
  static final long PREEMPT_AFTER_MILLIS = 10_000;

  /**
   * Interval at which the reserved workers, which may be many, are checked for tasks to preempt, in
   * milliseconds.
   */
  private static final long PREEMPT_INTERVAL_MILLIS = 500;

  private static final int MAX_GANGS_CHECKED = 64;

  private record Candidate(WorkerSlot slot, long fitsNow, long fitsLater) {}

  private final boolean preemption;
  private final Map<String, Long> earliestNextReservationMillis = new HashMap<>();
  private final List<WorkerSlot> reservedSlots = new ArrayList<>();
  private String reservedFor = "";
  private long reservedAtMillis;
  private long preemptedAtMillis;
  private QueueKey cursor = new QueueKey(Long.MIN_VALUE, "");

  GangPlanner(boolean preemption) {
    this.preemption = preemption;
  }

  /** Returns whether the tasks of a gang job may be stopped and started again. */
  static boolean isRestartable(JobStatus job) {
    return job.description().repeatable() || job.description().checkpointable();
  }

  /**
   * Stops the remaining tasks of each gang job that lost one, so that the whole job waits again.
   */
  void stopIncomplete(PlacementRound round) {
    int count = 0;
    for (Map.Entry<QueueKey, JobStatus> entry :
        round.zone().waitingIndex().gangs().tailMap(cursor, false).entrySet()) {
      JobStatus job = entry.getValue();
      if (round.zone().committedTaskCount(job.jobId()) > 0 && isRestartable(job)) {
        round.zone().tasksOf(job.jobId()).stream()
            .filter(task -> task.phase() == Phase.PLACED)
            .forEach(round::stop);
      }
      if (++count >= MAX_GANGS_CHECKED) {
        cursor = entry.getKey();
        return;
      }
    }
    cursor = new QueueKey(Long.MIN_VALUE, "");
  }

  /**
   * Ends the reservation if its job is placed or it has expired, starts a new one, and preempts
   * work on its workers.
   */
  void reserve(PlacementRound round) {
    long now = round.nowMillis();
    earliestNextReservationMillis.values().removeIf(earliestMillis -> earliestMillis <= now);
    if (!reservedFor.isEmpty()) {
      boolean waiting = !round.zone().waitingTasksOf(reservedFor).isEmpty();
      boolean expired = now - reservedAtMillis >= MAX_RESERVATION_MILLIS;
      if (!waiting || expired) {
        earliestNextReservationMillis.put(reservedFor, now + MAX_RESERVATION_MILLIS);
        endReservation(round);
      }
    }
    if (reservedFor.isEmpty()) {
      startReservation(round);
    } else if (preemption
        && now - reservedAtMillis >= PREEMPT_AFTER_MILLIS
        && now - preemptedAtMillis >= PREEMPT_INTERVAL_MILLIS) {
      preemptedAtMillis = now;
      round.zone().job(reservedFor).ifPresent(job -> preemptForReservation(round, job));
    }
  }

  private void endReservation(PlacementRound round) {
    reservedSlots.forEach(slot -> round.index().reserve(slot, ""));
    reservedSlots.clear();
    reservedFor = "";
  }

  private void startReservation(PlacementRound round) {
    JobStatus oldest = null;
    for (JobStatus job : round.blockedGangs()) {
      boolean waitedLong = round.nowMillis() - job.submittedAtMillis() >= RESERVE_AFTER_MILLIS;
      boolean eligible = waitedLong && !earliestNextReservationMillis.containsKey(job.jobId());
      if (eligible
          && (oldest == null
              || WaitingIndex.submissionKey(job).compareTo(WaitingIndex.submissionKey(oldest))
                  < 0)) {
        oldest = job;
      }
    }
    if (oldest != null) {
      chooseWorkers(round, oldest);
    }
  }

  /**
   * Reserves the workers that fit the most tasks now, then those that fit the most once batch work
   * there has ended.
   */
  private void chooseWorkers(PlacementRound round, JobStatus job) {
    int rackLimit = job.description().maxTasksPerRack();
    Map<String, Long> byRack = new HashMap<>();
    long missing = round.zone().waitingTasksOf(job.jobId()).size();
    List<WorkerSlot> chosenSlots = new ArrayList<>();
    for (Candidate candidate : candidates(round, round.sizeOf(job))) {
      String rack = candidate.slot().rack();
      long inRack = byRack.getOrDefault(rack, 0L);
      long usable = candidate.fitsLater();
      if (rackLimit > 0) {
        usable = Math.min(rackLimit - inRack, usable);
      }
      if (usable > 0 && missing > 0) {
        byRack.put(rack, inRack + usable);
        chosenSlots.add(candidate.slot());
        missing -= usable;
      }
    }
    if (missing <= 0) {
      reservedFor = job.jobId();
      reservedAtMillis = round.nowMillis();
      reservedSlots.addAll(chosenSlots);
      chosenSlots.forEach(slot -> round.index().reserve(slot, job.jobId()));
    }
  }

  private static List<Candidate> candidates(PlacementRound round, Resources size) {
    List<Candidate> candidates = new ArrayList<>();
    for (WorkerSlot slot : round.index().slots()) {
      if (slot.isUsable() && !slot.isHeadroom()) {
        long fitsNow = InfeasibleJobDetector.fitCount(size, slot.free());
        long fitsLater = InfeasibleJobDetector.fitCount(size, freeWithoutBatch(round, slot));
        if (fitsLater > 0) {
          candidates.add(new Candidate(slot, fitsNow, fitsLater));
        }
      }
    }
    candidates.sort(
        Comparator.comparingLong((Candidate c) -> -c.fitsNow())
            .thenComparingLong(c -> -c.fitsLater())
            .thenComparing(c -> c.slot().workerId));
    return candidates;
  }

  /** Returns the free capacity of a worker once all its batch and gang tasks have ended. */
  private static Resources freeWithoutBatch(PlacementRound round, WorkerSlot slot) {
    Resources room = slot.free();
    for (TaskStatus task : round.zone().committedTasksOn(slot.workerId)) {
      if (round.job(task).description().kind() != JobKind.SERVICE) {
        room = room.plus(task.reserved());
      }
    }
    return room;
  }

  private void preemptForReservation(PlacementRound round, JobStatus job) {
    Resources size = round.sizeOf(job);
    long missing = round.zone().waitingTasksOf(job.jobId()).size();
    for (WorkerSlot slot : reservedSlots) {
      Resources room = slot.free();
      for (TaskStatus task : round.zone().committedTasksOn(slot.workerId)) {
        room = round.isStopping(task) ? room.plus(task.reserved()) : room;
      }
      missing -= InfeasibleJobDetector.fitCount(size, room);
    }
    for (WorkerSlot slot : reservedSlots) {
      Resources room = slot.free();
      for (TaskStatus task : round.zone().committedTasksOn(slot.workerId)) {
        if (missing <= 0) {
          return;
        }
        if (Preemptor.isVictim(round, job, task) && round.stopToMakeRoom(task)) {
          long fitsBefore = InfeasibleJobDetector.fitCount(size, room);
          room = room.plus(task.reserved());
          missing -= InfeasibleJobDetector.fitCount(size, room) - fitsBefore;
        }
      }
    }
  }
}
