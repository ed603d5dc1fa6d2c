package org.cicadaford.cell;

/** Reasons for releasing a placement although the worker has not reported the end of its run. */
enum ReleaseReason {
  /** The preconditions of the start no longer hold, and its order was not sent. */
  NOT_SENT,
  /** The worker refused the start order. */
  REFUSED,
  /** The worker had confirmed the run, and a later report does not list it. */
  NOT_REPORTED,
  /** The worker had confirmed the stop of the run, and a later report does not list it. */
  STOPPED,
  /** The worker does not answer, and its leases have expired. */
  LEASE_EXPIRED,
  /** Another worker has the address. */
  REPLACED
}
