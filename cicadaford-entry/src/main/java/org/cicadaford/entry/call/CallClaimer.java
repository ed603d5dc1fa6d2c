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
 * Claims calls that are not repeatable and records how they end; used by the call service's thread
 * only.
 */
final class CallClaimer {

  private static final long LOG_RETRY_AFTER_MILLIS = 2_000;

  private final CallSettings settings;
  private final CallLoop loop;
  private final RequestAppender appender;
  private final UniformRandomProvider random;

  CallClaimer(
      CallSettings settings,
      CallLoop loop,
      RequestAppender appender,
      UniformRandomProvider random) {
    this.settings = settings;
    this.loop = loop;
    this.appender = appender;
    this.random = random;
  }

  /** What became of a claim. */
  sealed interface Outcome {

    /** The call is to be sent, once. */
    record Won() implements Outcome {}

    /** The call is not to be sent; the caller gets this result. */
    record Lost(CallResult result) implements Outcome {}
  }

  /**
   * Claims a call and passes on the outcome, within the claim timeout. A claim that is read back
   * after its call has ended is recorded as not run.
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
    long leftMillis = request.deadlineAtMillis() - loop.nowMillis();
    call.replaceTimer(
        loop.schedule(
            Math.min(settings.claimTimeoutMillis(), leftMillis),
            () -> {
              if (!call.isEnded() && !call.isClaimed()) {
                next.accept(new Outcome.Lost(notRecorded(call, claim, "is not confirmed in time")));
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
      if (!call.isEnded()) {
        next.accept(new Outcome.Lost(notRecorded(call, claim, "failed")));
      }
      return;
    }
    if (!readBack.verdict().isAccepted()) {
      if (!call.isEnded()) {
        next.accept(new Outcome.Lost(lostTo(call, readBack)));
      }
      return;
    }
    call.cancelTimer();
    call.onClaimed(readBack.offset());
    if (call.isEnded()) {
      recordNotRun(call);
    } else {
      next.accept(new Outcome.Won());
    }
  }

  private CallResult lostTo(CallInProgress call, ReadBack readBack) {
    return readBack
        .current()
        .map(entry -> resultOfRepeat(call.request(), entry))
        .orElseGet(() -> outsideWindow(call.request()));
  }

  /** Returns a refusal of a call whose claim was not read back, so that it is never sent. */
  private CallResult notRecorded(CallInProgress call, CallClaimed claim, String what) {
    CallEntry recorded = appender.recordedCall(call.request().requestId()).orElse(null);
    boolean otherHolds =
        recorded != null
            && !recorded.claim().recordId().equals(claim.recordId())
            && !endedWithoutRun(recorded);
    if (otherHolds) {
      return resultOfRepeat(call.request(), recorded);
    }
    return call.plan()
        .refused(
            RefusalKind.LOG_UNAVAILABLE,
            LOG_RETRY_AFTER_MILLIS,
            "the append to the log " + what + "; try again with a new request id");
  }

  /** Returns the result of a request id that was claimed before, if that is known here. */
  Optional<CallResult> recordedResult(CallRequest request) {
    return appender
        .recordedCall(request.requestId())
        .filter(entry -> !endedWithoutRun(entry))
        .map(entry -> resultOfRepeat(request, entry));
  }

  private static boolean endedWithoutRun(CallEntry entry) {
    return entry.finished() != null && entry.finished().outcome() == RunOutcome.NOT_RUN;
  }

  private static CallResult resultOfRepeat(CallRequest request, CallEntry entry) {
    CallFinished finished = entry.finished();
    if (!entry.claim().team().equals(request.team())) {
      return new Refused(
          RefusalKind.ID_USED_BEFORE,
          RunOutcome.NOT_RUN,
          0,
          "another team used the request id; use a new one");
    }
    if (finished == null || finished.outcome() != RunOutcome.RAN) {
      return unknownRepeat();
    }
    if (!finished.bodyKept()) {
      return new Refused(
          RefusalKind.ID_USED_BEFORE,
          RunOutcome.RAN,
          0,
          "the call ran, and its answer was too large to be kept; ask the service for its effect");
    }
    return new Answered(finished.statusCode(), finished.contentType(), finished.body());
  }

  static CallResult unknownRepeat() {
    return new Refused(
        RefusalKind.ID_USED_BEFORE,
        RunOutcome.UNKNOWN,
        LOG_RETRY_AFTER_MILLIS,
        "the request id was used before and its outcome is not known; ask again later");
  }

  /**
   * Returns whether the id of a claimed call is still in the window. Otherwise the claim may have
   * won only because an earlier one of the same id is no longer kept.
   */
  boolean isInWindow(CallInProgress call) {
    return RequestLedger.isIdInWindow(call.request().createdAtMillis(), loop.nowMillis());
  }

  static CallResult outsideWindow(CallRequest request) {
    return new Refused(
        RefusalKind.ID_OUTSIDE_WINDOW,
        RunOutcome.UNKNOWN,
        0,
        "request id "
            + request.requestId()
            + " was created more than 10 minutes ago or lies in the future; use a new one");
  }

  /** Records that a claimed call was not sent and will not be, so that its id can be used again. */
  void recordNotRun(CallInProgress call) {
    record(call, RunOutcome.NOT_RUN, 0, "", new byte[0]);
  }

  /** Records that a claimed call was sent and got no answer. */
  void recordUnknown(CallInProgress call) {
    record(call, RunOutcome.UNKNOWN, 0, "", new byte[0]);
  }

  /** Records the answer to a claimed call. */
  void recordAnswer(CallInProgress call, Answered answer) {
    record(call, RunOutcome.RAN, answer.statusCode(), answer.contentType(), answer.body());
  }

  // The caller does not wait for this record. If it is lost, a repeated id is answered "unknown".
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
