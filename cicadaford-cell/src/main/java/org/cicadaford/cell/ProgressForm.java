package org.cicadaford.cell;

/** Lists the forms of a job's progress record, by decreasing size. */
enum ProgressForm {
  /** All that the job needs to continue. */
  FULL,
  /** What is needed to stop the remaining runs of a job that has ended. */
  RUNS_ONLY,
  /** The phase of a job that has ended and has no runs left. */
  ENDED;

  /** Returns the form in which the progress of a job is stored at present. */
  static ProgressForm of(Job job) {
    if (!job.phase().terminal()) {
      return FULL;
    }
    return job.placements().isEmpty() ? ENDED : RUNS_ONLY;
  }
}
