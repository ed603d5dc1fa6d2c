package org.cicadaford.decision.call;

/** Tracks recent failures of one endpoint. Not thread-safe. */
final class EndpointHealth {

  /** Time for which an endpoint is avoided after its first failure, in milliseconds. */
  static final long FIRST_AVOIDANCE_MILLIS = 500;

  /** Maximum time for which an endpoint is avoided before it is probed, in milliseconds. */
  static final long MAX_AVOIDANCE_MILLIS = 30_000;

  private static final int MAX_DOUBLINGS = 6;

  private int failureCount;
  private long avoidedUntilMillis;
  private boolean probing;

  /**
   * Returns whether a call may go to the endpoint; after failures only one probe at a time is sent.
   */
  boolean mayBeCalled(long nowMillis) {
    return failureCount == 0 || !probing && nowMillis >= avoidedUntilMillis;
  }

  long avoidedUntilMillis() {
    return avoidedUntilMillis;
  }

  void onSent() {
    probing = failureCount > 0;
  }

  void onSuccess() {
    failureCount = 0;
    probing = false;
  }

  void onFailure(long nowMillis) {
    long avoidanceMillis = FIRST_AVOIDANCE_MILLIS << Math.min(failureCount, MAX_DOUBLINGS);
    failureCount++;
    avoidedUntilMillis = nowMillis + Math.min(MAX_AVOIDANCE_MILLIS, avoidanceMillis);
    probing = false;
  }
}
