package org.cicadaford.entry.call;

import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.cicadaford.decision.RequestLedger;
import org.cicadaford.decision.RequestLedger.CallEntry;
import org.cicadaford.decision.call.CallResult;
import org.cicadaford.decision.call.CallResult.Answered;
import org.cicadaford.decision.call.CallResult.Refused;
import org.cicadaford.decision.call.RefusalKind;
import org.cicadaford.entry.call.RequestAppender.ReadBack;
import org.cicadaford.model.RequestRecord.CallClaimed;
import org.cicadaford.model.RequestRecord.CallFinished;
import org.cicadaford.model.RunOutcome;

/**
 * Appends the claims and outcomes of calls that are not repeatable. Confined to the event loop of
 * the call service.
 */
final class CallClaimer {

  private static final long LOG_RETRY_AFTER_MILLIS = 2_000;

  private final CallSettings settings;
  private final CallEventLoop loop;
  private final RequestAppender appender;
  private final UniformRandomProvider random;

  CallClaimer(
      CallSettings settings,
      CallEventLoop loop,
      RequestAppender appender,
      UniformRandomProvider random) {
    this.settings = settings;
    this.loop = loop;
    this.appender = appender;
    this.random = random;
  }

  /** Result of a claim. */
  sealed interface Outcome {

    /** The claim took effect; the call must be sent once. */
    record Granted() implements Outcome {}

    /** The claim did not take effect; the call must not be sent and ends with this result. */
    record Denied(CallResult result) implements Outcome {}
  }

  /**
   * Claims a call and passes the outcome to {@code next} within the claim timeout. If the claim is
   * read back after its call has ended, the call is recorded as not run.
   */
  void claim(CallInProgress call, Consumer<Outcome> next) {
    CallRequest request = call.request();
    CallClaimed claim =
        new CallClaimed(
            newRecordId(),
            request.requestId(),
            request.team(),
            settings.instanceId(),
            loop.nowMillis());
    appender
        .append(claim)
        .whenComplete(
            (readBack, failure) ->
                loop.execute(() -> onReadBack(call, claim, readBack, failure, next)));
    long remainingMillis = request.deadlineAtMillis() - loop.nowMillis();
    call.replaceTimer(
        loop.schedule(
            Math.min(settings.claimTimeoutMillis(), remainingMillis),
            () -> {
              if (!call.isCompleted() && !call.isClaimed()) {
                next.accept(
                    new Outcome.Denied(
                        notReadBackResult(call, claim, "was not confirmed in time")));
              }
            }));
  }

  private void onReadBack(
      CallInProgress call,
      CallClaimed claim,
      ReadBack readBack,
      Throwable failure,
      Consumer<Outcome> next) {
    if (failure != null) {
      if (!call.isCompleted()) {
        next.accept(new Outcome.Denied(notReadBackResult(call, claim, "failed")));
      }
      return;
    }
    if (!readBack.verdict().isAccepted()) {
      if (!call.isCompleted()) {
        next.accept(new Outcome.Denied(deniedResult(call, readBack)));
      }
      return;
    }
    call.cancelTimer();
    call.onClaimed(readBack.offset());
    if (call.isCompleted()) {
      recordNotRun(call);
    } else {
      next.accept(new Outcome.Granted());
    }
  }

  private CallResult deniedResult(CallInProgress call, ReadBack readBack) {
    return readBack
        .current()
        .map(entry -> resultForDuplicate(call.request(), entry))
        .orElseGet(() -> idOutsideWindow(call.request()));
  }

  /** Returns the result of a call whose claim was not read back; such a call is never sent. */
  private CallResult notReadBackResult(CallInProgress call, CallClaimed claim, String what) {
    CallEntry recorded = appender.recordedCall(call.request().requestId()).orElse(null);
    boolean claimedByOther =
        recorded != null
            && !recorded.claim().recordId().equals(claim.recordId())
            && !endedWithoutRun(recorded);
    if (claimedByOther) {
      return resultForDuplicate(call.request(), recorded);
    }
    return call.plan()
        .refused(
            RefusalKind.LOG_UNAVAILABLE,
            LOG_RETRY_AFTER_MILLIS,
            "the append to the log " + what + "; retry with a new request id");
  }

  /** Returns the result of an earlier call of the same request id, as far as the log was read. */
  Optional<CallResult> recordedResult(CallRequest request) {
    return appender
        .recordedCall(request.requestId())
        .filter(entry -> !endedWithoutRun(entry))
        .map(entry -> resultForDuplicate(request, entry));
  }

  private static boolean endedWithoutRun(CallEntry entry) {
    return entry.finished() != null && entry.finished().outcome() == RunOutcome.NOT_RUN;
  }

  private static CallResult resultForDuplicate(CallRequest request, CallEntry entry) {
    CallFinished finished = entry.finished();
    if (!entry.claim().team().equals(request.team())) {
      return new Refused(
          RefusalKind.ID_USED_BEFORE,
          RunOutcome.NOT_RUN,
          0,
          "another team used the request id; use a new one");
    }
    if (finished == null || finished.outcome() != RunOutcome.RAN) {
      return duplicateOfUnknownOutcome();
    }
    if (!finished.bodyKept()) {
      return new Refused(
          RefusalKind.ID_USED_BEFORE,
          RunOutcome.RAN,
          0,
          "the call ran, but its answer was too large to keep; query the service for its effect");
    }
    return new Answered(finished.statusCode(), finished.contentType(), finished.body());
  }

  static CallResult duplicateOfUnknownOutcome() {
    return new Refused(
        RefusalKind.ID_USED_BEFORE,
        RunOutcome.UNKNOWN,
        LOG_RETRY_AFTER_MILLIS,
        "the request id was used before and its outcome is not known; retry later");
  }

  /**
   * Returns whether the id of a claimed call is still in the accepted window. Otherwise the claim
   * may have taken effect only because an earlier claim of the same id has expired.
   */
  boolean isInWindow(CallInProgress call) {
    return RequestLedger.isIdInWindow(call.request().createdAtMillis(), loop.nowMillis());
  }

  static CallResult idOutsideWindow(CallRequest request) {
    return new Refused(
        RefusalKind.ID_OUTSIDE_WINDOW,
        RunOutcome.UNKNOWN,
        0,
        "request id "
            + request.requestId()
            + " was created more than 10 minutes ago or lies in the future; use a new one");
  }

  /** Records that a claimed call was never sent, so that its id can be used again. */
  void recordNotRun(CallInProgress call) {
    record(call, RunOutcome.NOT_RUN, 0, "", new byte[0]);
  }

  /** Records that a claimed call was sent without getting an answer. */
  void recordUnknown(CallInProgress call) {
    record(call, RunOutcome.UNKNOWN, 0, "", new byte[0]);
  }

  /** Records the answer to a claimed call. */
  void recordAnswer(CallInProgress call, Answered answer) {
    record(call, RunOutcome.RAN, answer.statusCode(), answer.contentType(), answer.body());
  }

  // The caller does not wait for this record. If it is lost, a duplicate gets an unknown outcome.
  private void record(
      CallInProgress call, RunOutcome outcome, int statusCode, String contentType, byte[] body) {
    boolean kept = body.length <= settings.maxRecordedBodyBytes();
    appender.append(
        new CallFinished(
            newRecordId(),
            call.request().requestId(),
            call.claimOffset(),
            outcome,
            statusCode,
            contentType,
            kept ? body : new byte[0],
            kept));
  }

  private String newRecordId() {
    return Long.toHexString(random.nextLong()) + "-" + Long.toHexString(random.nextLong());
  }
}
