package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cicadaford.cell.occurrences.OccurrenceRanges;

/** A job and the state of its occurrences. */
final class Job {

  private final JobDefinition definition;
  private final JobObjective objective;
  private final Map<Integer, List<StepRun>> occurrences = new TreeMap<>();
  private final OccurrenceRanges doneOccurrences = new OccurrenceRanges();
  private int nextOccurrence;
  private JobPhase phase = JobPhase.PENDING;
  private JobPhase storedPhase = JobPhase.PENDING;
  private boolean stored;
  private JobStart start = JobStart.PENDING;
  private boolean begunRecorded;
  private boolean definitionDeleted;
  private long endedAtMillis;
  private final WaitTimeTracker waitTimes = new WaitTimeTracker();
  private final PhaseTimes phaseTimes = new PhaseTimes();

  Job(JobDefinition definition) {
    this.definition = definition;
    this.objective = JobObjective.of(definition.spec(), definition.queue());
  }

  String id() {
    return definition.jobId();
  }

  /** Creates an ended job of which only the progress record is still stored. */
  static Job ended(String jobId, JobProgress progress) {
    Queue queue = new Queue(progress.queue(), "", "", "", 0, 1, 1, 0, 0, false, AdvicePolicy.NONE);
    JobSpec spec = new JobSpec("", List.of(), 0, 0, 0);
    Job job = new Job(new JobDefinition(jobId, queue, progress.team(), "", 0, false, spec));
    job.definitionDeleted = true;
    return job;
  }

  JobDefinition definition() {
    return definition;
  }

  JobSpec spec() {
    return definition.spec();
  }

  /** Returns the time in which the job, or each of its occurrences, is to end. */
  JobObjective objective() {
    return objective;
  }

  /** Returns the Unix time at which an occurrence begins, in milliseconds. */
  long beginMillis(int occurrence) {
    return spec().recurring() ? spec().dueMillis(occurrence) : definition.acceptedAtMillis();
  }

  /** Returns the queue as of the acceptance of the job. */
  Queue queue() {
    return definition.queue();
  }

  String queueName() {
    return definition.queue().name();
  }

  String team() {
    return definition.team();
  }

  /** Returns the availability zone in which the job was submitted, or an empty string. */
  String zone() {
    return definition.zone() == null ? "" : definition.zone();
  }

  JobPhase phase() {
    return phase;
  }

  void phase(JobPhase newPhase) {
    phase = newPhase;
  }

  /** Returns the phase in the last stored record; this is the phase shown to callers. */
  JobPhase storedPhase() {
    return storedPhase;
  }

  boolean stored() {
    return stored;
  }

  void markStored(JobPhase newPhase) {
    stored = true;
    storedPhase = newPhase;
  }

  /** Returns what this coordinator knows of whether a task has started. */
  JobStart start() {
    return start;
  }

  void start(JobStart newStart) {
    start = newStart;
  }

  /** Returns whether a task is known to have started. */
  boolean begun() {
    return start == JobStart.BEGUN;
  }

  /** Returns whether the newest record of the job tells that it has begun. */
  boolean begunRecorded() {
    return begunRecorded;
  }

  /** Marks that the present state of the job is written to a record. */
  void markRecorded() {
    begunRecorded = begun();
  }

  /** Returns whether the stored definition is obsolete and has not been deleted. */
  boolean definitionObsolete() {
    return stored && !definitionDeleted && phase.terminal() && placements().isEmpty();
  }

  void markDefinitionDeleted() {
    definitionDeleted = true;
  }

  /** Marks that the deletion of the definition was refused with the other records of the job. */
  void definitionNotDeleted() {
    definitionDeleted = false;
  }

  long endedAtMillis() {
    return endedAtMillis;
  }

  void endedAtMillis(long atMillis) {
    endedAtMillis = atMillis;
  }

  Map<Integer, List<StepRun>> occurrences() {
    return occurrences;
  }

  OccurrenceRanges doneOccurrences() {
    return doneOccurrences;
  }

  /** Returns a task of an occurrence that is in progress. */
  Optional<Task> task(int occurrence, int step, int index) {
    List<StepRun> steps = occurrences.get(occurrence);
    boolean stepExists = steps != null && step >= 0 && step < steps.size();
    if (!stepExists || index < 0 || index >= steps.get(step).tasks().size()) {
      return Optional.empty();
    }
    return Optional.of(steps.get(step).tasks().get(index));
  }

  /** Begins an occurrence and returns its steps. */
  List<StepRun> beginOccurrence(int occurrence) {
    List<StepRun> steps = new ArrayList<>();
    for (int index = 0; index < spec().steps().size(); index++) {
      steps.add(new StepRun(this, occurrence, index));
    }
    occurrences.put(occurrence, steps);
    return steps;
  }

  /** Returns the lowest occurrence that has not begun, or the number of occurrences if all have. */
  int nextOccurrence() {
    nextOccurrence = doneOccurrences.firstMissing(nextOccurrence);
    while (occurrences.containsKey(nextOccurrence)) {
      nextOccurrence = doneOccurrences.firstMissing(nextOccurrence + 1);
    }
    return nextOccurrence;
  }

  /**
   * Returns whether another occurrence may begin. A job with very many due occurrences would
   * otherwise fill the memory of the coordinator, and its record the store's limit. This bounds the
   * ranges of completed occurrences too: there is at most one more of them than there are
   * occurrences in progress.
   */
  boolean mayBeginOccurrence() {
    int tasksOfOne = spec().steps().stream().mapToInt(StepSpec::taskCount).sum();
    // An occurrence takes about as many bytes of the record as a task, its range included.
    return occurrences.isEmpty()
        || (occurrences.size() + 1L) * (tasksOfOne + 1) <= JobSpecValidator.MAX_TASKS;
  }

  /** Returns whether all steps that {@code step} depends on are done. */
  boolean dependenciesDone(StepRun step) {
    List<StepRun> steps = occurrences.get(step.occurrence());
    return step.spec().after().stream().allMatch(earlier -> steps.get(earlier).done());
  }

  /** Marks an occurrence as done if all its steps are; returns whether it was not marked before. */
  boolean completeOccurrence(int occurrence) {
    List<StepRun> steps = occurrences.get(occurrence);
    if (steps == null || !steps.stream().allMatch(StepRun::done)) {
      return false;
    }
    boolean finished = doneOccurrences.add(occurrence);
    if (finished) {
      steps.forEach(step -> waitTimes.add(step.waitTimes()));
      steps.forEach(step -> phaseTimes.add(step.phaseTimes()));
    }
    removeIfIdle(occurrence);
    return finished;
  }

  /**
   * Removes the steps of a completed occurrence once it has no placements left. Until then they are
   * stored, so that another coordinator accounts for the resources in use.
   */
  void removeIfIdle(int occurrence) {
    List<StepRun> steps = occurrences.get(occurrence);
    if (steps != null && doneOccurrences.contains(occurrence) && placementsOf(steps).isEmpty()) {
      occurrences.remove(occurrence);
    }
  }

  /** Returns the time that tasks of the completed occurrences have waited. */
  WaitTimeTracker waitTimes() {
    return waitTimes;
  }

  boolean allDone() {
    return doneOccurrences.count() >= spec().runCount();
  }

  List<Placement> placements() {
    List<Placement> placements = new ArrayList<>();
    occurrences.values().forEach(steps -> placements.addAll(placementsOf(steps)));
    return placements;
  }

  /** Returns whether any task of the steps is placed. */
  static boolean hasPlacement(List<StepRun> steps) {
    return !placementsOf(steps).isEmpty();
  }

  private static List<Placement> placementsOf(List<StepRun> steps) {
    List<Placement> placements = new ArrayList<>();
    for (StepRun step : steps) {
      for (Task task : step.tasks()) {
        if (task.placement() != null) {
          placements.add(task.placement());
        }
      }
    }
    return placements;
  }

  /** Returns the report that the end of the job is stored. */
  Action.ReportJobEnd endReport(long unixMillis) {
    return new Action.ReportJobEnd(
        id(),
        phase(),
        queueName(),
        team(),
        unixMillis - definition().acceptedAtMillis(),
        objective().objectiveMillis(),
        waitTimes().summary(),
        phaseTimes.summary());
  }
}
