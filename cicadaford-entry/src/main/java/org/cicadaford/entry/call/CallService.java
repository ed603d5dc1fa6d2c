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
 * Forwards calls to endpoints and returns their answers.
 *
 * <p>A call that is not repeatable is first claimed in the log and then sent at most once. A
 * repeatable call is retried within the retry budget and its deadline. A caller gets its result as
 * soon as no better one is possible. All state is confined to one {@link CallEventLoop}, which also
 * completes the results, so dependent stages must not block.
 */
public final class CallService {

  private static final long SHORT_RETRY_AFTER_MILLIS = 100;

  private final CallSettings settings;
  private final CallEventLoop loop;
  private final EndpointService endpointService;
  private final UniformRandomProvider random;
  private final CallClaimer claimer;
  private final EndpointSlotTracker slots;
  private final RetryBudget retryBudget = new RetryBudget();
  private final Backoff backoff;
  private final Map<String, ServiceState> statesByService = new HashMap<>();
  private final Map<String, CallInProgress> pendingClaimsById = new HashMap<>();
  private final AtomicInteger inProgressCount = new AtomicInteger();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile boolean stopping;

  /**
   * Creates a service without endpoints.
   *
   * @param random source of endpoint choices, delays and record ids, used by the event loop only
   */
  public CallService(
      CallSettings settings,
      CallEventLoop loop,
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

  /** Starts to accept calls. */
  public void start() {
    stopping = false;
  }

  /**
   * Refuses new calls from now on and returns a future that completes once all earlier calls have
   * their results.
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

  /** Returns the number of calls without a result. */
  public int inProgressCount() {
    return inProgressCount.get();
  }

  /** Applies a new membership list. */
  public void onMembershipChanged(List<Member> members) {
    List<Member> copy = List.copyOf(members);
    loop.execute(() -> updateMembers(copy));
  }

  private void updateMembers(List<Member> members) {
    Map<String, List<Member>> endpointsByService = new HashMap<>();
    statesByService.keySet().forEach(service -> endpointsByService.put(service, new ArrayList<>()));
    int entriesInZone = 0;
    int totalEntries = 0;
    for (Member member : members) {
      boolean isLive = member.state() == Member.State.LIVE;
      if (member.role() == Member.Role.ENDPOINT) {
        endpointsByService
            .computeIfAbsent(member.service(), service -> new ArrayList<>())
            .add(member);
      } else if (member.role() == Member.Role.ENTRY && isLive) {
        totalEntries++;
        entriesInZone += member.zone().equals(settings.zone()) ? 1 : 0;
      }
    }
    slots.updateEntryCounts(entriesInZone, totalEntries);
    endpointsByService.forEach(
        (service, endpoints) -> serviceState(service).updateEndpoints(endpoints));
    statesByService.values().forEach(this::dispatchWaiting);
  }

  private ServiceState serviceState(String service) {
    return statesByService.computeIfAbsent(
        service, name -> new ServiceState(settings, slots, random));
  }

  /** Calls a service and returns the result; never completes exceptionally. */
  public CompletableFuture<CallResult> call(CallRequest request) {
    // Counts the call before the check, so that stop() waits for each call that passes it.
    int count = inProgressCount.incrementAndGet();
    if (stopping) {
      return refuseBeforeStart(RefusalKind.STOPPING, "this instance is stopping; use another one");
    }
    if (count > settings.maxCallsInProgress()) {
      return refuseBeforeStart(
          RefusalKind.OVERLOADED,
          "this entry instance has too many calls in progress; retry later");
    }
    CompletableFuture<CallResult> result = new CompletableFuture<>();
    loop.execute(() -> startCall(request, result));
    return result.copy();
  }

  private CompletableFuture<CallResult> refuseBeforeStart(RefusalKind kind, String detail) {
    inProgressCount.decrementAndGet();
    loop.execute(this::completeIfDrained);
    return CompletableFuture.completedFuture(
        new Refused(kind, RunOutcome.NOT_RUN, SHORT_RETRY_AFTER_MILLIS, detail));
  }

  private void startCall(CallRequest request, CompletableFuture<CallResult> result) {
    CallRetryPlanner plan =
        new CallRetryPlanner(
            request.repeatable(), request.deadlineAtMillis(), retryBudget, backoff);
    CallInProgress call = new CallInProgress(request, plan, result);
    long nowMillis = loop.nowMillis();
    if (!plan.maySend(nowMillis)) {
      refuse(call, RefusalKind.DEADLINE_PASSED, 0, "the deadline has passed; allow more time");
      return;
    }
    ServiceState service = statesByService.get(request.service());
    if (request.repeatable()) {
      admitOrRefuse(call, service, () -> sendOrEnqueue(call));
      return;
    }
    CallResult knownResult = resultWithoutSending(request);
    if (knownResult != null) {
      complete(call, knownResult);
      return;
    }
    admitOrRefuse(call, service, () -> claim(call));
  }

  private CallResult resultWithoutSending(CallRequest request) {
    if (!RequestLedger.isIdInWindow(request.createdAtMillis(), loop.nowMillis())) {
      return CallClaimer.idOutsideWindow(request);
    }
    if (pendingClaimsById.containsKey(request.requestId())) {
      return CallClaimer.duplicateOfUnknownOutcome();
    }
    return claimer.recordedResult(request).orElse(null);
  }

  /** Continues with a call unless it certainly cannot be sent before its deadline. */
  private void admitOrRefuse(CallInProgress call, ServiceState service, Runnable next) {
    long nowMillis = loop.nowMillis();
    if (service == null) {
      refuse(
          call,
          RefusalKind.NO_ENDPOINT,
          SHORT_RETRY_AFTER_MILLIS,
          "no endpoint of service " + call.request().service() + " is registered; check the name");
      return;
    }
    OptionalLong retryAfterMillis =
        service.waitingCalls().retryAfterIfRefused(call.request().deadlineAtMillis(), nowMillis);
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
        "service " + call.request().service() + " is overloaded; retry after the given time");
  }

  private void claim(CallInProgress call) {
    pendingClaimsById.put(call.request().requestId(), call);
    claimer.claim(
        call,
        outcome -> {
          switch (outcome) {
            case CallClaimer.Outcome.Granted granted -> sendOrEnqueue(call);
            case CallClaimer.Outcome.Denied denied -> complete(call, denied.result());
          }
        });
  }

  private void sendOrEnqueue(CallInProgress call) {
    ServiceState service = serviceState(call.request().service());
    if (!service.waitingCalls().isEmpty()) {
      enqueue(call, service);
    } else if (!trySend(call, service)) {
      enqueue(call, service);
    }
  }

  private void enqueue(CallInProgress call, ServiceState service) {
    long deadlineAtMillis = call.request().deadlineAtMillis();
    OptionalLong retryAfterMillis =
        service.waitingCalls().retryAfterIfRefused(deadlineAtMillis, loop.nowMillis());
    if (retryAfterMillis.isPresent()) {
      refuseOverloaded(call, retryAfterMillis.getAsLong());
      return;
    }
    service.waitingCalls().add(call);
    call.replaceTimer(
        loop.schedule(
            deadlineAtMillis - loop.nowMillis(),
            () -> {
              if (service.waitingCalls().remove(call)) {
                refuseOverloaded(call, service.retryAfterMillis());
              }
            }));
  }

  /** Sends or completes a call and returns true, or returns false if it must wait for a slot. */
  private boolean trySend(CallInProgress call, ServiceState service) {
    long nowMillis = loop.nowMillis();
    if (!call.plan().maySend(nowMillis)) {
      refuse(
          call,
          RefusalKind.DEADLINE_PASSED,
          service.retryAfterMillis(),
          "the deadline passed before the call got a slot; retry after the given time");
      return true;
    }
    if (call.isClaimed() && !claimer.isInWindow(call)) {
      complete(call, CallClaimer.idOutsideWindow(call.request()));
      return true;
    }
    return switch (service.router().choose(call.plan().triedIds(), nowMillis)) {
      case Choice.Chosen chosen -> {
        send(call, service, chosen.endpointId());
        yield true;
      }
      case Choice.Busy busy -> false;
      case Choice.None none -> {
        refuse(
            call,
            RefusalKind.NO_ENDPOINT,
            none.retryAfterMillis(),
            "no endpoint of service "
                + call.request().service()
                + " accepts calls now; retry later");
        yield true;
      }
    };
  }

  private void send(CallInProgress call, ServiceState service, String endpointId) {
    CallRequest request = call.request();
    long sentAtMillis = loop.nowMillis();
    long timeoutMillis = call.plan().onSend(endpointId, sentAtMillis);
    service.rate().onSent();
    endpointService
        .call(
            service.member(endpointId),
            new EndpointCall(
                request.requestId(), request.contentType(), request.body(), timeoutMillis))
        .whenComplete(
            (answer, failure) ->
                loop.execute(
                    () -> {
                      service.rate().onEnded(loop.nowMillis() - sentAtMillis);
                      onAttemptEnded(call, service, endpointId, answer, failure);
                    }));
  }

  private void onAttemptEnded(
      CallInProgress call,
      ServiceState service,
      String endpointId,
      EndpointAnswer answer,
      Throwable failure) {
    long nowMillis = loop.nowMillis();
    boolean answered = failure == null && answer.requestId().equals(call.request().requestId());
    service.router().onEnded(endpointId, answered, nowMillis);
    if (answered) {
      complete(call, new Answered(answer.statusCode(), answer.contentType(), answer.body()));
    } else {
      onAttemptFailed(call, service, isNotStarted(failure));
    }
    dispatchWaiting(service);
  }

  private static boolean isNotStarted(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof EndpointException e && e.kind() == EndpointException.Kind.NOT_STARTED;
  }

  private void onAttemptFailed(CallInProgress call, ServiceState service, boolean notStarted) {
    long nowMillis = loop.nowMillis();
    long retryAfterMillis = service.retryAfterMillis();
    switch (call.plan().onFailed(notStarted, retryAfterMillis, nowMillis)) {
      case CallRetryPlanner.Step.Retry retry ->
          loop.schedule(retry.delayMillis(), () -> sendOrEnqueue(call));
      case CallRetryPlanner.Step.GiveUp giveUp -> complete(call, giveUp.result());
    }
  }

  private void dispatchWaiting(ServiceState service) {
    while (!service.waitingCalls().isEmpty()) {
      CallInProgress first = service.waitingCalls().first();
      if (!trySend(first, service)) {
        return;
      }
      service.waitingCalls().remove(first);
      first.cancelTimer();
    }
  }

  private void refuse(CallInProgress call, RefusalKind kind, long retryAfterMillis, String detail) {
    complete(call, call.plan().refused(kind, retryAfterMillis, detail));
  }

  private void complete(CallInProgress call, CallResult result) {
    if (call.isCompleted()) {
      return;
    }
    if (call.isClaimed()) {
      recordResult(call, result);
    }
    pendingClaimsById.remove(call.request().requestId(), call);
    call.cancelTimer();
    inProgressCount.decrementAndGet();
    call.result().complete(result);
    completeIfDrained();
  }

  private void recordResult(CallInProgress call, CallResult result) {
    switch (result) {
      case Answered answered -> claimer.recordAnswer(call, answered);
      case Refused refused when refused.ran() == RunOutcome.NOT_RUN -> claimer.recordNotRun(call);
      case Refused refused -> claimer.recordUnknown(call);
    }
  }
}
