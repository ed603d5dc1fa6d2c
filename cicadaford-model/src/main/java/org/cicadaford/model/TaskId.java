package org.cicadaford.model;

/**
 * Identifies a task of a job.
 *
 * @param jobId job that the task belongs to
 * @param index position of the task in its job, from 0
 */
public record TaskId(String jobId, int index) implements Comparable<TaskId> {

  @Override
  public int compareTo(TaskId other) {
    int byJob = jobId.compareTo(other.jobId);
    return byJob != 0 ? byJob : Integer.compare(index, other.index);
  }

  @Override
  public String toString() {
    return jobId + "/" + index;
  }
}
