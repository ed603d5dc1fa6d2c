package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** A job with the state of its occurrences. */
final class Job {

  private final JobDefinition definition;
  private final Map<Integer, List<StepRun>> occurrences = new TreeMap<>();
  private final TreeSet<Integer> doneOccurrences = new TreeSet<>();
  private JobPhase phase = JobPhase.PENDING;
  private JobPhase storedPhase = JobPhase.PENDING;
  private boolean stored;
  private long endedAtMillis;

  Job(JobDefinition definition) {
    this.definition = definition;
  }

  String id() {
    return definition.jobId();
  }

  JobDefinition definition() {
    return definition;
  }

  JobSpec spec() {
    return definition.spec();
  }

  /** Returns the queue as of the job's acceptance. */
  Queue queue() {
    return definition.queue();
  }

  String team() {
    return definition.team();
  }

  JobPhase phase() {
    return phase;
  }

  void phase(JobPhase newPhase) {
    phase = newPhase;
  }

  /** Returns the phase as of the last stored record; callers are shown this one. */
  JobPhase storedPhase() {
    return storedPhase;
  }

  void storedPhase(JobPhase newPhase) {
    storedPhase = newPhase;
  }

  boolean stored() {
    return stored;
  }

  void markStored() {
    stored = true;
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

  TreeSet<Integer> doneOccurrences() {
    return doneOccurrences;
  }

  /** Creates the steps of an occurrence and returns them. */
  List<StepRun> begin(int occurrence) {
    List<StepRun> steps = new ArrayList<>();
    for (int index = 0; index < spec().steps().size(); index++) {
      steps.add(new StepRun(this, occurrence, index));
    }
    occurrences.put(occurrence, steps);
    return steps;
  }

  /** Returns the lowest occurrence that has not begun, or the number of all of them. */
  int nextOccurrence() {
    int next = 0;
    while (occurrences.containsKey(next) || doneOccurrences.contains(next)) {
      next++;
    }
    return next;
  }

  /** Returns whether the steps that {@code step} waits for are done. */
  boolean unblocked(StepRun step) {
    List<StepRun> steps = occurrences.get(step.occurrence());
    return step.spec().after().stream().allMatch(earlier -> steps.get(earlier).done());
  }

  /** Drops an occurrence whose steps are all done; returns whether it was dropped. */
  boolean finish(int occurrence) {
    List<StepRun> steps = occurrences.get(occurrence);
    if (steps == null || !steps.stream().allMatch(StepRun::done)) {
      return false;
    }
    occurrences.remove(occurrence);
    doneOccurrences.add(occurrence);
    return true;
  }

  boolean allDone() {
    return doneOccurrences.size() >= spec().runCount();
  }

  List<Placement> placements() {
    List<Placement> placements = new ArrayList<>();
    for (List<StepRun> steps : occurrences.values()) {
      for (StepRun step : steps) {
        for (Task task : step.tasks()) {
          if (task.placement() != null) {
            placements.add(task.placement());
          }
        }
      }
    }
    return placements;
  }
}
