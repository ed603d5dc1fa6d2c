package org.cicadaford.cell;

/** Reasons for which a step with unplaced tasks waits. */
enum WaitCause {
  /** The limit of the team is reached. */
  LIMIT,
  /** No worker with a valid ticket is known, and advice is requested. */
  ADVICE,
  /** No permitted worker has free capacity. */
  ROOM
}
