package org.cicadaford.cell;

/** What a step with waiting tasks waits for. */
enum WaitCause {
  /** The team may not run more of the queue. */
  LIMIT,
  /** No worker with a valid ticket is known, and advice is asked for. */
  ADVICE,
  /** No worker that may run the step has room. */
  ROOM
}
