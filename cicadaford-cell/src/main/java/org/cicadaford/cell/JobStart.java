package org.cicadaford.cell;

/** Lists what a coordinator knows of whether a task of a job has started. */
enum JobStart {
  /** No task is known to have started. */
  PENDING,
  /**
   * A predecessor has placed a task, and its record does not tell whether that has started; the
   * worker's report will.
   */
  UNKNOWN,
  /** A task has started. */
  BEGUN
}
