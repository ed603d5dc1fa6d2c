package org.cicadaford.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the stored jobs of which no task has started, by queue.
 *
 * <p>The stored phase does not tell them apart: a job is stored as running when its first task is
 * placed, and the start of that task may be refused.
 */
final class PendingJobCounter {

  private final Map<String, Integer> countByQueue = new HashMap<>();
  private int count;

  /** Records that a job is stored in a phase. */
  void markStored(Job job, JobPhase phase) {
    add(job, -1);
    job.markStored(phase);
    add(job, 1);
  }

  /** Records that a task of a job has started. */
  void markBegun(Job job) {
    if (!job.begun()) {
      add(job, -1);
      job.markBegun();
      add(job, 1);
    }
  }

  private void add(Job job, int delta) {
    if (job.stored() && !job.storedPhase().terminal() && !job.begun()) {
      countByQueue.merge(job.queueName(), delta, Integer::sum);
      count += delta;
    }
  }

  int count() {
    return count;
  }

  int count(String queueName) {
    return countByQueue.getOrDefault(queueName, 0);
  }
}
