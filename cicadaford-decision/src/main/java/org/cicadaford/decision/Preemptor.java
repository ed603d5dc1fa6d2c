package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cicadaford.decision.TaskStatus.Phase;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.Resources;
import org.cicadaford.model.Urgency;

/**
 * Stops running tasks to make room for urgent work and for teams that are below their share.
 *
 * <p>A victim is repeatable. It is less urgent work of the same team, or work of lower or equal
 * urgency of a team that stays at or above its share without it. Tasks of gang jobs are never
 * victims, because stopping one would stop the whole gang.
 */
final class Preemptor {

  /** Minimum run time before a task may be preempted for the first time, in milliseconds. */
  static final long MIN_FIRST_RUN_MILLIS = 10_000;

  /**
   * The same for tasks that were placed before, in milliseconds. It is long so that two teams do
   * not keep preempting each other. It depends on recorded state only, so it survives a change of
   * owner.
   */
  static final long MIN_LATER_RUN_MILLIS = 600_000;

  /**
   * Time that normal work waits before it preempts, in milliseconds; enough capacity usually
   * becomes free by then.
   */
  static final long NORMAL_WAIT_MILLIS = 2_000;

  private static final long UNRECORDED_STOP_TIMEOUT_MILLIS = 5_000;
  private static final long MAX_CHECKPOINTED_LOSS_MILLIS = 5_000;
  private static final long SERVICE_LOSS_MILLIS = 600_000;
  private static final int MAX_WORKERS_SEARCHED = 32;

  /**
   * Maximum searches per decision; the next decision continues with the following workers. With 20
   * decisions per second, one search each is enough to use up the rate of stops.
   */
  private static final int MAX_SEARCHES = 1;

  private static final int MAX_VICTIMS = 6;
  private static final int MAX_TASKS_PER_JOB = 8;

  private record PendingPreemption(String jobId, List<TaskStatus> victims, long sinceMillis) {}

  private record Victims(List<TaskStatus> tasks, long cost) {
    private boolean isBetterThan(Victims other) {
      return other == null
          || tasks.size() < other.tasks.size()
          || tasks.size() == other.tasks.size() && cost < other.cost;
    }
  }

  private final PreemptionBudget budget;
  private final List<PendingPreemption> pending = new ArrayList<>();
  private int workerCursor;
  private int searches;

  Preemptor(PreemptionBudget budget) {
    this.budget = budget;
  }

  void decide(PlacementRound round) {
    pending.removeIf(entry -> !isPending(round, entry));
    searches = 0;
    for (JobStatus job : round.blockedJobs()) {
      makeRoom(round, job);
    }
  }

  private static boolean isPending(PlacementRound round, PendingPreemption entry) {
    boolean recent = round.nowMillis() - entry.sinceMillis() < UNRECORDED_STOP_TIMEOUT_MILLIS;
    for (TaskStatus victim : entry.victims()) {
      TaskStatus now = round.zone().task(victim.taskId()).orElse(null);
      if (now != null && now.attempt() == victim.attempt() && now.isCommitted()) {
        if (recent || now.phase() == Phase.STOPPING) {
          return true;
        }
      }
    }
    return false;
  }

  /**
   * Returns whether a waiting job may preempt: it is urgent, or it has waited long enough and stays
   * within its team's share.
   */
  static boolean mayPreempt(PlacementRound round, JobStatus job) {
    if (job.description().urgency() == Urgency.URGENT) {
      return true;
    }
    return job.description().urgency() == Urgency.NORMAL
        && round.nowMillis() - job.submittedAtMillis() >= NORMAL_WAIT_MILLIS
        && round.isWithinShare(job);
  }

  private void makeRoom(PlacementRound round, JobStatus job) {
    int waiting = Math.min(round.zone().waitingTasksOf(job.jobId()).size(), MAX_TASKS_PER_JOB);
    long coming = pending.stream().filter(entry -> entry.jobId().equals(job.jobId())).count();
    for (long count = coming; count < waiting && budget.allows(1); count++) {
      if (++searches > MAX_SEARCHES) {
        return;
      }
      Victims victims = search(round, job);
      if (victims == null || !budget.allows(victims.tasks().size())) {
        return;
      }
      victims.tasks().forEach(round::stopToMakeRoom);
      pending.add(new PendingPreemption(job.jobId(), victims.tasks(), round.nowMillis()));
    }
  }

  private Victims search(PlacementRound round, JobStatus job) {
    List<WorkerSlot> slots = round.index().slots();
    Victims best = null;
    for (int step = 0; step < Math.min(MAX_WORKERS_SEARCHED, slots.size()); step++) {
      WorkerSlot slot = slots.get(workerCursor++ % slots.size());
      if (slot.isUsable()
          && slot.reservedForJob().isEmpty()
          && round.sizeOf(job).fitsIn(slot.capacity())
          && round.allowedRacks(job).test(slot)) {
        Victims victims = victimsOn(round, job, slot);
        if (victims != null && victims.isBetterThan(best)) {
          best = victims;
        }
      }
    }
    workerCursor = slots.isEmpty() ? 0 : workerCursor % slots.size();
    return best;
  }

  private static Victims victimsOn(PlacementRound round, JobStatus job, WorkerSlot slot) {
    Resources size = round.sizeOf(job);
    List<TaskStatus> candidates = new ArrayList<>();
    for (TaskStatus task : round.zone().committedTasksOn(slot.workerId)) {
      if (round.isStopping(task)) {
        return null;
      }
      if (isVictim(round, job, task)) {
        candidates.add(task);
      }
    }
    TaskStatus single = null;
    for (TaskStatus task : candidates) {
      if (size.fitsIn(slot.free().plus(task.reserved()))
          && (single == null || cost(round, task) < cost(round, single))) {
        single = task;
      }
    }
    return single != null
        ? new Victims(List.of(single), cost(round, single))
        : severalVictims(round, job, slot, candidates);
  }

  private static Victims severalVictims(
      PlacementRound round, JobStatus job, WorkerSlot slot, List<TaskStatus> candidates) {
    Resources size = round.sizeOf(job);
    Resources capacity = slot.capacity();
    candidates.sort(
        Comparator.comparingDouble((TaskStatus t) -> -t.reserved().dominantShareOf(capacity))
            .thenComparing(TaskStatus::taskId));
    Resources free = slot.free();
    List<TaskStatus> victims = new ArrayList<>();
    long cost = 0;
    for (TaskStatus task : candidates) {
      victims.add(task);
      cost += cost(round, task);
      free = free.plus(task.reserved());
      if (size.fitsIn(free)) {
        return stayAboveShare(round, job, victims) ? new Victims(victims, cost) : null;
      }
      if (victims.size() >= MAX_VICTIMS) {
        return null;
      }
    }
    return null;
  }

  /** Returns whether all other teams stay at or above their shares without the victims. */
  private static boolean stayAboveShare(
      PlacementRound round, JobStatus job, List<TaskStatus> victims) {
    Map<String, Resources> lostByTeam = new HashMap<>();
    victims.forEach(
        task ->
            lostByTeam.merge(
                round.job(task).description().team(), task.reserved(), Resources::plus));
    lostByTeam.remove(job.description().team());
    return lostByTeam.entrySet().stream()
        .allMatch(lost -> staysAboveShare(round, lost.getKey(), lost.getValue()));
  }

  private static boolean staysAboveShare(PlacementRound round, String team, Resources lost) {
    return round.shareRatio(team, round.usageAfterStops(team).minus(lost)) >= 1;
  }

  /** Returns whether a running task may be preempted by a job. */
  static boolean isVictim(PlacementRound round, JobStatus forJob, TaskStatus task) {
    JobDescription victim = round.job(task).description();
    JobDescription preemptor = forJob.description();
    if (!isStoppable(round, victim, task) || victim.kind() == JobKind.GANG) {
      return false;
    }
    boolean lessUrgent = victim.urgency().compareTo(preemptor.urgency()) > 0;
    if (victim.team().equals(preemptor.team())) {
      return lessUrgent;
    }
    boolean equallyUrgent =
        victim.urgency() == preemptor.urgency() && preemptor.urgency() != Urgency.URGENT;
    return (lessUrgent || equallyUrgent)
        && round.isOverShare(victim.team())
        && staysAboveShare(round, victim.team(), task.reserved());
  }

  private static boolean isStoppable(PlacementRound round, JobDescription victim, TaskStatus task) {
    long minRunMillis = task.attempt() > 1 ? MIN_LATER_RUN_MILLIS : MIN_FIRST_RUN_MILLIS;
    return task.phase() == Phase.PLACED
        && victim.repeatable()
        && round.nowMillis() - task.placedAtMillis() >= minRunMillis;
  }

  /** Returns the work lost when a task is stopped, in millicore milliseconds. */
  private static long cost(PlacementRound round, TaskStatus task) {
    JobDescription description = round.job(task).description();
    long lostMillis = round.nowMillis() - task.placedAtMillis();
    if (description.kind() == JobKind.SERVICE) {
      lostMillis = SERVICE_LOSS_MILLIS;
    } else if (description.checkpointable()) {
      lostMillis = Math.min(lostMillis, MAX_CHECKPOINTED_LOSS_MILLIS);
    }
    return lostMillis * (1 + task.reserved().processorsMillicores());
  }
}
