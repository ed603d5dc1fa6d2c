package org.cicadaford.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the stored jobs of which no task has started.
 *
 * <p>The stored phase does not tell them apart: a job is stored as running when its first task is
 * placed, and the start of that task may be refused. Callers and the admission count jobs of which
 * the start is not known differently: to callers they are pending until the worker reports a run,
 * but they don't use up the room for pending jobs, as most of them run.
 */
final class PendingJobCounter {

  private final Map<String, Integer> countByQueue = new HashMap<>();
  private final BegunJobRecorder begunJobs;
  private int certainCount;

  /** Creates the counter; {@code begunJobs} receives each job that begins. */
  PendingJobCounter(BegunJobRecorder begunJobs) {
    this.begunJobs = begunJobs;
  }

  /** Records that a job is stored in a phase. */
  void markStored(Job job, JobPhase phase) {
    add(job, -1);
    job.markStored(phase);
    add(job, 1);
  }

  /** Records that a task of a job has started. */
  void markBegun(Job job) {
    if (!job.begun()) {
      markStart(job, JobStart.BEGUN);
      begunJobs.begun(job);
    }
  }

  /** Marks jobs for the store that have begun, if that is due. */
  void tick(long nowMillis) {
    begunJobs.tick(nowMillis);
  }

  /** Records what the records of a predecessor tell of the start of a job. */
  void restore(Job job, JobStart start) {
    markStart(job, start);
    job.markRecorded();
  }

  /** Records that a placement of a job is over; without any, no start of it is in doubt. */
  void placementReleased(Job job) {
    if (job.start() == JobStart.UNKNOWN && job.placements().isEmpty()) {
      markStart(job, JobStart.PENDING);
    }
  }

  private void markStart(Job job, JobStart start) {
    add(job, -1);
    job.start(start);
    add(job, 1);
  }

  private void add(Job job, int delta) {
    if (job.stored() && !job.storedPhase().terminal() && !job.begun()) {
      countByQueue.merge(job.queueName(), delta, Integer::sum);
      certainCount += job.start() == JobStart.PENDING ? delta : 0;
    }
  }

  /** Returns the number of jobs that have not begun, without those of which it is not known. */
  int certainCount() {
    return certainCount;
  }

  /** Returns the number of jobs of a queue that are not known to have begun. */
  int count(String queueName) {
    return countByQueue.getOrDefault(queueName, 0);
  }
}
