package org.cicadaford.entry.call;

import java.util.concurrent.CompletableFuture;
import org.cicadaford.decision.call.CallResult;
import org.cicadaford.decision.call.CallRetryPlanner;

/** One call from its arrival to its result; used by the call service's thread only. */
final class CallInProgress {

  private static final long NO_CLAIM = -1;

  private final CallRequest request;
  private final CallRetryPlanner plan;
  private final CompletableFuture<CallResult> result;
  private long claimOffset = NO_CLAIM;
  private Runnable timer = () -> {};

  CallInProgress(CallRequest request, CallRetryPlanner plan, CompletableFuture<CallResult> result) {
    this.request = request;
    this.plan = plan;
    this.result = result;
  }

  CallRequest request() {
    return request;
  }

  CallRetryPlanner plan() {
    return plan;
  }

  CompletableFuture<CallResult> result() {
    return result;
  }

  /** Returns whether the caller has its result, so that nothing more is done for it. */
  boolean isEnded() {
    return result.isDone();
  }

  /** Remembers what cancels the call's next timed step, and cancels the one before. */
  void replaceTimer(Runnable newTimer) {
    timer.run();
    timer = newTimer;
  }

  void cancelTimer() {
    replaceTimer(() -> {});
  }

  void onClaimed(long offset) {
    claimOffset = offset;
  }

  boolean isClaimed() {
    return claimOffset != NO_CLAIM;
  }

  long claimOffset() {
    return claimOffset;
  }
}
