package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.cicadaford.decision.TaskStatus.Phase;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.JobState;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskEnd;
import org.cicadaford.model.TaskId;
import org.cicadaford.model.TeamPolicy;
import org.cicadaford.model.Urgency;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneChange.JobClosed;
import org.cicadaford.model.ZoneChange.TaskPlaced;
import org.cicadaford.model.ZoneChange.TaskStopping;

/** Accumulates the placements and stops of one scheduling decision. */
final class PlacementRound {

  /** Result of an attempt to place a task or a gang job. */
  enum Outcome {
    /** Placements were added to the decision. */
    PLACED,
    /** No worker has room. */
    NO_ROOM,
    /** The zone's allotment of the team's limit is used up. */
    NO_ALLOTMENT,
    /** There is nothing to place at present. */
    SKIPPED
  }

  private static final Predicate<WorkerSlot> ANY = slot -> true;

  /**
   * Maximum blocked jobs kept of each kind; jobs are tried in order of importance, so the first
   * ones matter most.
   */
  private static final int MAX_BLOCKED_JOBS = 32;

  private record Placement(TaskStatus task, WorkerSlot slot) {}

  private final OwnerInputs inputs;
  private final WorkerIndex index;
  private final TaskSizer sizer;
  private final TeamLimits limits;
  private final SchedulerSettings settings;
  private final PreemptionBudget budget;
  private final long nowMillis;
  private final List<ZoneChange> changes = new ArrayList<>();
  private final Map<String, Resources> placedByTeam = new HashMap<>();
  private final Map<String, Long> startableByTeam = new HashMap<>();
  private final Map<String, Map<String, Integer>> rackCountsByJob = new HashMap<>();
  private final Set<TaskId> placedTasks = new HashSet<>();
  private final Set<String> closedJobs = new HashSet<>();
  private final Set<JobStatus> blockedJobs = new LinkedHashSet<>();
  private final Set<JobStatus> blockedGangs = new LinkedHashSet<>();
  private final Map<String, Boolean> overShareByTeam = new HashMap<>();
  private double activeWeight = -1;
  private int placementCount;

  PlacementRound(
      OwnerInputs inputs,
      WorkerIndex index,
      TaskSizer sizer,
      TeamLimits limits,
      SchedulerSettings settings,
      PreemptionBudget budget,
      long nowMillis) {
    this.inputs = inputs;
    this.index = index;
    this.sizer = sizer;
    this.limits = limits;
    this.settings = settings;
    this.budget = budget;
    this.nowMillis = nowMillis;
  }

  /** Places one waiting task if a worker has room. */
  Outcome place(JobStatus job, TaskStatus task) {
    JobDescription description = job.description();
    Resources size = sizer.sizeToReserve(description);
    if (placedTasks.contains(task.taskId()) || closedJobs.contains(job.jobId())) {
      return Outcome.SKIPPED;
    }
    if (availableMillicores(description.team()) < size.processorsMillicores()) {
      return Outcome.NO_ALLOTMENT;
    }
    WorkerSlot slot = findWorker(job, size);
    if (slot == null) {
      recordBlocked(job);
      return Outcome.NO_ROOM;
    }
    takeCapacity(job, slot, size);
    recordPlacement(job, new Placement(task, slot), size);
    return Outcome.PLACED;
  }

  private WorkerSlot findWorker(JobStatus job, Resources size) {
    boolean urgent = job.description().urgency() == Urgency.URGENT;
    if (!urgent && job.description().repeatable()) {
      WorkerSlot probe = index.findProbe(size, nowMillis);
      if (probe != null && allowedRacks(job).test(probe)) {
        return probe;
      }
    }
    boolean unconstrained = !urgent && !hasRackLimit(job);
    if (unconstrained && index.isKnownUnplaceable(size)) {
      return null;
    }
    WorkerSlot slot = index.find(size, urgent, allowedRacks(job));
    if (slot == null && unconstrained) {
      index.recordUnplaceable(size);
    }
    return slot;
  }

  /** Places all waiting tasks of a gang job, or none. */
  Outcome placeGang(JobStatus job) {
    if (closedJobs.contains(job.jobId())) {
      return Outcome.SKIPPED;
    }
    if (inputs.zone().committedTaskCount(job.jobId()) > 0) {
      return GangPlanner.isRestartable(job) ? Outcome.SKIPPED : placeRemaining(job);
    }
    Collection<TaskStatus> tasks = inputs.zone().waitingTasksOf(job.jobId());
    Resources size = sizer.sizeToReserve(job.description());
    if (tasks.isEmpty() || placedTasks.contains(tasks.iterator().next().taskId())) {
      return Outcome.SKIPPED;
    }
    if (availableMillicores(job.description().team())
        < tasks.size() * size.processorsMillicores()) {
      return Outcome.NO_ALLOTMENT;
    }
    List<Placement> placements = new ArrayList<>(tasks.size());
    for (TaskStatus task : tasks) {
      WorkerSlot slot = findForGang(job, size);
      if (slot == null) {
        placements.forEach(placement -> returnCapacity(job, placement.slot(), size));
        recordBlocked(job);
        return Outcome.NO_ROOM;
      }
      takeCapacity(job, slot, size);
      placements.add(new Placement(task, slot));
    }
    placements.forEach(placement -> recordPlacement(job, placement, size));
    return Outcome.PLACED;
  }

  /**
   * Places the missing tasks of a gang job whose other tasks run and cannot be restarted: stopping
   * those would lose the job because of one refused start.
   */
  private Outcome placeRemaining(JobStatus job) {
    Outcome outcome = Outcome.SKIPPED;
    for (TaskStatus task : inputs.zone().waitingTasksOf(job.jobId())) {
      outcome = place(job, task);
    }
    return outcome;
  }

  private WorkerSlot findForGang(JobStatus job, Resources size) {
    Predicate<WorkerSlot> allowed = allowedRacks(job);
    WorkerSlot slot = index.findReserved(size, job.jobId(), allowed);
    boolean urgent = job.description().urgency() == Urgency.URGENT;
    return slot != null ? slot : index.find(size, urgent, allowed);
  }

  private void takeCapacity(JobStatus job, WorkerSlot slot, Resources size) {
    index.takeCapacity(slot, size);
    if (hasRackLimit(job)) {
      rackCounts(job).merge(slot.rack(), 1, Integer::sum);
    }
  }

  private void returnCapacity(JobStatus job, WorkerSlot slot, Resources size) {
    index.returnCapacity(slot, size);
    if (hasRackLimit(job)) {
      rackCounts(job).merge(slot.rack(), -1, Integer::sum);
    }
  }

  private void recordPlacement(JobStatus job, Placement placement, Resources size) {
    TaskStatus task = placement.task();
    changes.add(
        new TaskPlaced(
            task.taskId(), task.attempt() + 1, placement.slot().workerId, size, nowMillis));
    placedTasks.add(task.taskId());
    placedByTeam.merge(job.description().team(), size, Resources::plus);
    placementCount++;
  }

  private static boolean hasRackLimit(JobStatus job) {
    return job.description().maxTasksPerRack() > 0;
  }

  /** Returns the workers that the job's limit of tasks per rack allows. */
  Predicate<WorkerSlot> allowedRacks(JobStatus job) {
    int rackLimit = job.description().maxTasksPerRack();
    if (rackLimit <= 0) {
      return ANY;
    }
    Map<String, Integer> counts = rackCounts(job);
    return slot -> counts.getOrDefault(slot.rack(), 0) < rackLimit;
  }

  private Map<String, Integer> rackCounts(JobStatus job) {
    return rackCountsByJob.computeIfAbsent(job.jobId(), this::countRacks);
  }

  private Map<String, Integer> countRacks(String jobId) {
    Map<String, Integer> counts = new HashMap<>();
    if (inputs.zone().committedTaskCount(jobId) == 0) {
      return counts;
    }
    for (TaskStatus task : inputs.zone().tasksOf(jobId)) {
      WorkerSlot slot = task.isCommitted() ? index.slot(task.workerId()) : null;
      if (slot != null) {
        counts.merge(slot.rack(), 1, Integer::sum);
      }
    }
    return counts;
  }

  /** Returns how much of the team's allotment is neither committed nor placed in this decision. */
  long availableMillicores(String team) {
    long startable =
        startableByTeam.computeIfAbsent(team, name -> limits.startableMillicores(inputs, name));
    return startable - usage(team).processorsMillicores();
  }

  /** Returns what is committed to the team, including this decision's placements. */
  Resources usage(String team) {
    Resources committed = inputs.zone().committed(team);
    Resources placed = placedByTeam.get(team);
    return placed == null ? committed : committed.plus(placed);
  }

  /** Returns the team's dominant share divided by its weight. */
  double weightedShare(String team) {
    return usage(team).dominantShareOf(index.usableCapacity()) / weight(team);
  }

  /**
   * Returns the team's dominant share relative to its weighted fair share among the teams with
   * work; greater than 1 if it uses more than its share.
   */
  double shareRatio(String team, Resources usage) {
    return usage.dominantShareOf(index.usableCapacity()) * activeWeight() / weight(team);
  }

  private int weight(String team) {
    return Math.max(1, inputs.config().team(team).map(TeamPolicy::shareWeight).orElse(1));
  }

  private double activeWeight() {
    if (activeWeight < 0) {
      Set<String> teams = new HashSet<>(inputs.zone().teamsWithCommitted());
      teams.addAll(inputs.zone().waitingIndex().teams());
      activeWeight = teams.stream().mapToInt(this::weight).sum();
    }
    return activeWeight;
  }

  /** Records a job that found no room as a candidate for preemption or reservation. */
  void recordBlocked(JobStatus job) {
    boolean isGang = isGang(job);
    Set<JobStatus> blocked = isGang ? blockedGangs : blockedJobs;
    if (blocked.size() < MAX_BLOCKED_JOBS && (isGang || Preemptor.mayPreempt(this, job))) {
      blocked.add(job);
    }
  }

  /** Returns the jobs that found no room and may preempt, in the order in which they were tried. */
  Collection<JobStatus> blockedJobs() {
    return Collections.unmodifiableCollection(blockedJobs);
  }

  /** Returns the gang jobs that found no room, in the order in which they were tried. */
  Collection<JobStatus> blockedGangs() {
    return Collections.unmodifiableCollection(blockedGangs);
  }

  /** Returns whether the job's team stays within its share with one more task of the job. */
  boolean isWithinShare(JobStatus job) {
    String team = job.description().team();
    return shareRatio(team, usage(team).plus(sizeOf(job))) <= 1;
  }

  /** Returns whether the team uses more than its share before this decision's stops. */
  boolean isOverShare(String team) {
    return overShareByTeam.computeIfAbsent(
        team, name -> shareRatio(name, usageAfterStops(name)) > 1);
  }

  /** Stops a running task to make room, if the rate limit allows it. */
  boolean stopToMakeRoom(TaskStatus task) {
    if (isStopping(task) || !budget.allows(1)) {
      return false;
    }
    budget.recordStop(task, job(task).description().team(), nowMillis);
    stop(task);
    return true;
  }

  /** Stops a running task; it is requeued if its job allows that. */
  void stop(TaskStatus task) {
    changes.add(new TaskStopping(task.taskId(), task.attempt(), TaskEnd.PREEMPTED));
  }

  /** Returns whether a committed task is being stopped, by this decision or an earlier one. */
  boolean isStopping(TaskStatus task) {
    return task.phase() == Phase.STOPPING || budget.isStopping(task);
  }

  /** Returns the job of a task. */
  JobStatus job(TaskStatus task) {
    return inputs.zone().job(task.taskId().jobId()).orElseThrow();
  }

  /** Returns what the team uses once all pending stops have completed. */
  Resources usageAfterStops(String team) {
    return usage(team).minus(budget.stopping(team));
  }

  /** Closes a job that no worker can ever run. */
  void closeImpossible(JobStatus job, String reason) {
    closedJobs.add(job.jobId());
    changes.add(new JobClosed(job.jobId(), JobState.IMPOSSIBLE, reason, nowMillis));
  }

  /** Returns whether the decision has reached the maximum size of a batch. */
  boolean isFull() {
    return placementCount >= settings.maxPlacementsPerDecision();
  }

  static boolean isGang(JobStatus job) {
    return job.description().kind() == JobKind.GANG;
  }

  Resources sizeOf(JobStatus job) {
    return sizer.sizeToReserve(job.description());
  }

  ZoneState zone() {
    return inputs.zone();
  }

  WorkerIndex index() {
    return index;
  }

  long nowMillis() {
    return nowMillis;
  }

  long excessMillicores(String team) {
    return limits.excessMillicores(inputs, team);
  }

  /** Returns the changes in order and reports the placements to the team limits. */
  List<ZoneChange> finish() {
    placedByTeam.forEach(
        (team, size) -> limits.onPlacementsProposed(inputs, team, size.processorsMillicores()));
    return changes;
  }
}
