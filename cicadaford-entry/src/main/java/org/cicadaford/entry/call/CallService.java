package org.cicadaford.entry.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.UniformRandomProvider;
import org.cicadaford.decision.RequestLedger;
import org.cicadaford.decision.call.Backoff;
import org.cicadaford.decision.call.CallResult;
import org.cicadaford.decision.call.CallResult.Answered;
import org.cicadaford.decision.call.CallResult.Refused;
import org.cicadaford.decision.call.CallRetryPlanner;
import org.cicadaford.decision.call.CallRouter.Choice;
import org.cicadaford.decision.call.EndpointSlotTracker;
import org.cicadaford.decision.call.RefusalKind;
import org.cicadaford.decision.call.RetryBudget;
import org.cicadaford.model.RunOutcome;
import org.cicadaford.platform.EndpointAnswer;
import org.cicadaford.platform.EndpointCall;
import org.cicadaford.platform.EndpointException;
import org.cicadaford.platform.EndpointService;
import org.cicadaford.platform.Member;

/**
 * Calls endpoints for callers.
 *
 * <p>A call that is not repeatable is claimed in the log first and sent at most once. A repeatable
 * call is sent again within the retry budget and its deadline. Each caller gets its result as soon
 * as it is certain that no better one will come. All state belongs to the steps of one {@link
 * CallLoop}, on which results are also completed, so that what depends on them must not block.
 */
public final class CallService {

  private static final long SHORT_RETRY_AFTER_MILLIS = 100;

  private final CallSettings settings;
  private final CallLoop loop;
  private final EndpointService endpointService;
  private final UniformRandomProvider random;
  private final CallClaimer claimer;
  private final EndpointSlotTracker slots;
  private final RetryBudget retryBudget = new RetryBudget();
  private final Backoff backoff;
  private final Map<String, ServiceLane> lanesByService = new HashMap<>();
  private final Map<String, CallInProgress> claimingById = new HashMap<>();
  private final AtomicInteger inProgressCount = new AtomicInteger();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile boolean stopping;

  /**
   * Creates a service without endpoints.
   *
   * @param random source of choices, delays and record ids, used by the loop only
   */
  public CallService(
      CallSettings settings,
      CallLoop loop,
      RequestAppender appender,
      EndpointService endpointService,
      UniformRandomProvider random) {
    this.settings = settings;
    this.loop = loop;
    this.endpointService = endpointService;
    this.random = random;
    this.claimer = new CallClaimer(settings, loop, appender, random);
    this.slots = new EndpointSlotTracker(settings.zone());
    this.backoff = new Backoff(settings.backoffBaseMillis(), settings.backoffMaxMillis(), random);
  }

  /** Begins to accept calls. */
  public void start() {
    stopping = false;
  }

  /**
   * Refuses new calls from now on and returns a future that completes once the calls that came in
   * before have their results.
   */
  public CompletableFuture<Void> stop() {
    stopping = true;
    loop.execute(this::completeIfDrained);
    return drained;
  }

  private void completeIfDrained() {
    if (stopping && inProgressCount.get() == 0) {
      drained.complete(null);
    }
  }

  /** Returns the number of calls that have no result yet. */
  public int inProgressCount() {
    return inProgressCount.get();
  }

  /** Takes in the membership list. */
  public void onMembers(List<Member> members) {
    List<Member> copy = List.copyOf(members);
    loop.execute(() -> updateMembers(copy));
  }

  private void updateMembers(List<Member> members) {
    Map<String, List<Member>> endpointsByService = new HashMap<>();
    lanesByService.keySet().forEach(service -> endpointsByService.put(service, new ArrayList<>()));
    int entriesInZone = 0;
    int entriesInAll = 0;
    for (Member member : members) {
      boolean isLive = member.state() == Member.State.LIVE;
      if (member.role() == Member.Role.ENDPOINT) {
        endpointsByService
            .computeIfAbsent(member.service(), service -> new ArrayList<>())
            .add(member);
      } else if (member.role() == Member.Role.ENTRY && isLive) {
        entriesInAll++;
        entriesInZone += member.zone().equals(settings.zone()) ? 1 : 0;
      }
    }
    slots.updateEntryCounts(entriesInZone, entriesInAll);
    endpointsByService.forEach((service, endpoints) -> lane(service).update(endpoints));
    lanesByService.values().forEach(this::sendWaiting);
  }

  private ServiceLane lane(String service) {
    return lanesByService.computeIfAbsent(
        service, name -> new ServiceLane(settings, slots, random));
  }

  /** Calls a service and returns how the call ended; never completes exceptionally. */
  public CompletableFuture<CallResult> call(CallRequest request) {
    // The call is counted before the check, so that stop() waits for each call that passes it.
    int count = inProgressCount.incrementAndGet();
    if (stopping) {
      return refusedUncounted(RefusalKind.STOPPING, "this instance is stopping; try another one");
    }
    if (count > settings.maxCallsInProgress()) {
      return refusedUncounted(
          RefusalKind.OVERLOADED, "this entry instance has too many calls in progress; try again");
    }
    CompletableFuture<CallResult> result = new CompletableFuture<>();
    loop.execute(() -> begin(request, result));
    return result.copy();
  }

  private CompletableFuture<CallResult> refusedUncounted(RefusalKind kind, String detail) {
    inProgressCount.decrementAndGet();
    loop.execute(this::completeIfDrained);
    return CompletableFuture.completedFuture(
        new Refused(kind, RunOutcome.NOT_RUN, SHORT_RETRY_AFTER_MILLIS, detail));
  }

  private void begin(CallRequest request, CompletableFuture<CallResult> result) {
    CallRetryPlanner plan =
        new CallRetryPlanner(
            request.repeatable(), request.deadlineAtMillis(), retryBudget, backoff);
    CallInProgress call = new CallInProgress(request, plan, result);
    long nowMillis = loop.nowMillis();
    if (!plan.maySend(nowMillis)) {
      refuse(call, RefusalKind.DEADLINE_PASSED, 0, "the deadline has passed; allow more time");
      return;
    }
    ServiceLane lane = lanesByService.get(request.service());
    if (request.repeatable()) {
      admit(call, lane, () -> sendOrWait(call));
      return;
    }
    CallResult repeated = resultWithoutClaim(request);
    if (repeated != null) {
      end(call, repeated);
      return;
    }
    admit(call, lane, () -> claim(call));
  }

  private CallResult resultWithoutClaim(CallRequest request) {
    if (!RequestLedger.isIdInWindow(request.createdAtMillis(), loop.nowMillis())) {
      return CallClaimer.outsideWindow(request);
    }
    if (claimingById.containsKey(request.requestId())) {
      return CallClaimer.unknownRepeat();
    }
    return claimer.recordedResult(request).orElse(null);
  }

  /** Goes on with a call unless it is certain now that it would not be sent in time. */
  private void admit(CallInProgress call, ServiceLane lane, Runnable next) {
    long nowMillis = loop.nowMillis();
    if (lane == null) {
      refuse(
          call,
          RefusalKind.NO_ENDPOINT,
          SHORT_RETRY_AFTER_MILLIS,
          "no endpoint of service " + call.request().service() + " is listed; check the name");
      return;
    }
    OptionalLong retryAfterMillis =
        lane.waiting().retryAfterIfRefused(call.request().deadlineAtMillis(), nowMillis);
    if (retryAfterMillis.isPresent()) {
      refuseOverloaded(call, retryAfterMillis.getAsLong());
      return;
    }
    next.run();
  }

  private void refuseOverloaded(CallInProgress call, long retryAfterMillis) {
    refuse(
        call,
        RefusalKind.OVERLOADED,
        retryAfterMillis,
        "service " + call.request().service() + " is overloaded; try again after the given time");
  }

  private void claim(CallInProgress call) {
    claimingById.put(call.request().requestId(), call);
    claimer.claim(
        call,
        outcome -> {
          switch (outcome) {
            case CallClaimer.Outcome.Won won -> sendOrWait(call);
            case CallClaimer.Outcome.Lost lost -> end(call, lost.result());
          }
        });
  }

  private void sendOrWait(CallInProgress call) {
    ServiceLane lane = lane(call.request().service());
    if (!lane.waiting().isEmpty()) {
      await(call, lane);
    } else if (!trySend(call, lane)) {
      await(call, lane);
    }
  }

  private void await(CallInProgress call, ServiceLane lane) {
    long deadlineAtMillis = call.request().deadlineAtMillis();
    OptionalLong retryAfterMillis =
        lane.waiting().retryAfterIfRefused(deadlineAtMillis, loop.nowMillis());
    if (retryAfterMillis.isPresent()) {
      refuseOverloaded(call, retryAfterMillis.getAsLong());
      return;
    }
    lane.waiting().add(call);
    call.replaceTimer(
        loop.schedule(
            deadlineAtMillis - loop.nowMillis(),
            () -> {
              if (lane.waiting().remove(call)) {
                refuseOverloaded(call, lane.retryAfterMillis());
              }
            }));
  }

  /** Sends or ends a call and returns true, or returns false if it has to wait for a slot. */
  private boolean trySend(CallInProgress call, ServiceLane lane) {
    long nowMillis = loop.nowMillis();
    if (!call.plan().maySend(nowMillis)) {
      refuse(
          call,
          RefusalKind.DEADLINE_PASSED,
          lane.retryAfterMillis(),
          "the deadline passed before the call got a slot; try again after the given time");
      return true;
    }
    if (call.isClaimed() && !claimer.isInWindow(call)) {
      end(call, CallClaimer.outsideWindow(call.request()));
      return true;
    }
    return switch (lane.router().choose(call.plan().triedIds(), nowMillis)) {
      case Choice.Chosen chosen -> {
        send(call, lane, chosen.endpointId());
        yield true;
      }
      case Choice.Busy busy -> false;
      case Choice.None none -> {
        refuse(
            call,
            RefusalKind.NO_ENDPOINT,
            none.retryAfterMillis(),
            "no endpoint of service " + call.request().service() + " can take calls; try again");
        yield true;
      }
    };
  }

  private void send(CallInProgress call, ServiceLane lane, String endpointId) {
    CallRequest request = call.request();
    long sentAtMillis = loop.nowMillis();
    long timeoutMillis = call.plan().onSend(endpointId, sentAtMillis);
    lane.rate().onSent();
    endpointService
        .call(
            lane.member(endpointId),
            new EndpointCall(
                request.requestId(), request.contentType(), request.body(), timeoutMillis))
        .whenComplete(
            (answer, failure) ->
                loop.execute(
                    () -> {
                      lane.rate().onEnded(loop.nowMillis() - sentAtMillis);
                      onAttemptEnded(call, lane, endpointId, answer, failure);
                    }));
  }

  private void onAttemptEnded(
      CallInProgress call,
      ServiceLane lane,
      String endpointId,
      EndpointAnswer answer,
      Throwable failure) {
    long nowMillis = loop.nowMillis();
    boolean answered = failure == null && answer.requestId().equals(call.request().requestId());
    lane.router().onEnded(endpointId, answered, nowMillis);
    if (answered) {
      end(call, new Answered(answer.statusCode(), answer.contentType(), answer.body()));
    } else {
      onAttemptFailed(call, lane, isNotStarted(failure));
    }
    sendWaiting(lane);
  }

  private static boolean isNotStarted(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof EndpointException e && e.kind() == EndpointException.Kind.NOT_STARTED;
  }

  private void onAttemptFailed(CallInProgress call, ServiceLane lane, boolean notStarted) {
    long nowMillis = loop.nowMillis();
    long retryAfterMillis = lane.retryAfterMillis();
    switch (call.plan().onFailed(notStarted, retryAfterMillis, nowMillis)) {
      case CallRetryPlanner.Step.Retry retry ->
          loop.schedule(retry.delayMillis(), () -> sendOrWait(call));
      case CallRetryPlanner.Step.GiveUp giveUp -> end(call, giveUp.result());
    }
  }

  private void sendWaiting(ServiceLane lane) {
    while (!lane.waiting().isEmpty()) {
      CallInProgress first = lane.waiting().first();
      if (!trySend(first, lane)) {
        return;
      }
      lane.waiting().remove(first);
      first.cancelTimer();
    }
  }

  private void refuse(CallInProgress call, RefusalKind kind, long retryAfterMillis, String detail) {
    end(call, call.plan().refused(kind, retryAfterMillis, detail));
  }

  private void end(CallInProgress call, CallResult result) {
    if (call.isEnded()) {
      return;
    }
    if (call.isClaimed()) {
      record(call, result);
    }
    claimingById.remove(call.request().requestId(), call);
    call.cancelTimer();
    inProgressCount.decrementAndGet();
    call.result().complete(result);
    completeIfDrained();
  }

  private void record(CallInProgress call, CallResult result) {
    switch (result) {
      case Answered answered -> claimer.recordAnswer(call, answered);
      case Refused refused when refused.ran() == RunOutcome.NOT_RUN -> claimer.recordNotRun(call);
      case Refused refused -> claimer.recordUnknown(call);
    }
  }
}
