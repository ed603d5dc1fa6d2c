package org.cicadaford.entry.call;

import java.util.concurrent.CompletableFuture;
import org.cicadaford.decision.call.CallResult;
import org.cicadaford.decision.call.CallRetryPlanner;

/** Holds the state of one call until it has a result. Confined to the call event loop. */
final class CallInProgress {

  private static final long NO_CLAIM = -1;

  private final CallRequest request;
  private final CallRetryPlanner plan;
  private final CompletableFuture<CallResult> result;
  private long claimOffset = NO_CLAIM;
  private Runnable timerCanceller = () -> {};

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

  /** Returns whether the caller has got its result. */
  boolean isCompleted() {
    return result.isDone();
  }

  /** Cancels the current timer of the call and keeps the canceller of the new one. */
  void replaceTimer(Runnable newTimerCanceller) {
    timerCanceller.run();
    timerCanceller = newTimerCanceller;
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
