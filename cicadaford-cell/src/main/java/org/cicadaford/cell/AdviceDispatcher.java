package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Distributes calls for placement advice over the instances of the cell.
 *
 * <p>The advice service handles one call at a time per calling instance. Some instances make only
 * short calls, so that these do not queue behind long ones.
 */
final class AdviceDispatcher {

  /** Maximum duration of a short call, in milliseconds. */
  private static final long SHORT_CALL_MILLIS = 100;

  /** Maximum backlog of an instance that still accepts a short call, in milliseconds. */
  private static final long SHORT_BACKLOG_MILLIS = 150;

  /**
   * One in this many instances is reserved for short calls. At the expected load, long calls occupy
   * two to four of seven instances and short calls half of one; with a single reserved instance,
   * queueing delayed urgent jobs by 100 ms.
   */
  private static final int INSTANCES_PER_SHORT_CALLER = 3;

  /**
   * Minimum time after its expected end before a call times out, in milliseconds. The service
   * states how long a call takes, so a later answer comes from a slow or unreachable instance. The
   * average delay of the instance is added {@link #DELAY_FACTOR} times.
   */
  private static final long TIMEOUT_MARGIN_MILLIS = 200;

  private static final int DELAY_FACTOR = 3;

  /**
   * Assumed delay of an instance before its first answer, in milliseconds. After a restart of all
   * processes answers arrive 50 to 240 ms late.
   */
  private static final double INITIAL_DELAY_MILLIS = 100;

  /** Smoothing factor of the average delay; about the last five answers count. */
  private static final double DELAY_SMOOTHING = 0.2;

  /** Pause of an instance after a failed call, in milliseconds. */
  private static final long FAILURE_PAUSE_MILLIS = 500;

  /** Delay before a step requests advice again after a failed call, in milliseconds. */
  private static final long RETRY_MILLIS = 50;

  /** Assumed share of permitted workers before the first answer. */
  private static final double INITIAL_PERMITTED_SHARE = 0.5;

  /** Lower bound of the share, so that a step for which none was permitted asks again. */
  private static final double MIN_PERMITTED_SHARE = 0.05;

  /** Smoothing factor of the share of permitted workers; about the last ten answers count. */
  private static final double SHARE_SMOOTHING = 0.1;

  /** A call that has not been answered yet. */
  private record OpenCall(
      StepRun step, Caller caller, Map<String, Long> incarnations, long expectedEndMillis) {}

  /** An instance that makes calls one at a time. */
  private static final class Caller implements Comparable<Caller> {
    private final String id;
    private boolean shortCallsOnly;
    private long busyUntilMillis;
    private double meanDelayMillis = INITIAL_DELAY_MILLIS;

    private Caller(String id, long nowMillis) {
      this.id = id;
      this.busyUntilMillis = nowMillis;
    }

    private void recordDelay(long millis) {
      meanDelayMillis += DELAY_SMOOTHING * (Math.max(0, millis) - meanDelayMillis);
    }

    private long timeoutMarginMillis() {
      return TIMEOUT_MARGIN_MILLIS + Math.round(DELAY_FACTOR * meanDelayMillis);
    }

    @Override
    public int compareTo(Caller other) {
      int order = Long.compare(busyUntilMillis, other.busyUntilMillis);
      return order != 0 ? order : id.compareTo(other.id);
    }
  }

  private final CellState state;
  private final TreeMap<String, Caller> callersById = new TreeMap<>();
  private final TreeSet<Caller> shortCallCallers = new TreeSet<>();
  private final TreeSet<Caller> generalCallers = new TreeSet<>();
  private final Map<Long, OpenCall> openCalls = new HashMap<>();
  private final Map<String, Double> permittedShareByQueue = new HashMap<>();
  private long nextCallId;

  AdviceDispatcher(CellState state) {
    this.state = state;
  }

  /** Sets the instances that can make calls; open calls of the others fail. */
  void callersChanged(Set<String> instanceIds, long nowMillis) {
    if (instanceIds.equals(callersById.keySet())) {
      return;
    }
    callersById.keySet().retainAll(instanceIds);
    instanceIds.forEach(id -> callersById.computeIfAbsent(id, key -> new Caller(key, nowMillis)));
    shortCallCallers.clear();
    generalCallers.clear();
    int shortCallsOnly =
        callersById.size() > 1 ? Math.max(1, callersById.size() / INSTANCES_PER_SHORT_CALLER) : 0;
    for (Caller caller : callersById.values()) {
      caller.shortCallsOnly = shortCallsOnly-- > 0;
      poolOf(caller).add(caller);
    }
    List<Long> abandoned = new ArrayList<>();
    openCalls.forEach(
        (callId, call) -> {
          if (callersById.get(call.caller().id) != call.caller()) {
            abandoned.add(callId);
          }
        });
    abandoned.forEach(callId -> callFailed(callId, nowMillis));
  }

  private TreeSet<Caller> poolOf(Caller caller) {
    return caller.shortCallsOnly ? shortCallCallers : generalCallers;
  }

  private void busyUntil(Caller caller, long untilMillis) {
    boolean pooled = poolOf(caller).remove(caller);
    caller.busyUntilMillis = untilMillis;
    if (pooled) {
      poolOf(caller).add(caller);
    }
  }

  /**
   * Requests advice on a step; returns false if no instance is free.
   *
   * @param workers workers named in the call
   */
  boolean requestAdvice(StepRun step, AdvicePolicy policy, List<Worker> workers, long nowMillis) {
    long callMillis = policy.callMillis(workers.size());
    Caller caller = freeCaller(isShort(callMillis), nowMillis);
    if (caller == null) {
      return false;
    }
    long endMillis = Math.max(nowMillis, caller.busyUntilMillis) + callMillis;
    busyUntil(caller, endMillis);
    Map<String, Long> incarnations = new LinkedHashMap<>();
    workers.forEach(worker -> incarnations.put(worker.id(), worker.incarnation()));
    List<String> workerIds = List.copyOf(incarnations.keySet());
    long callId = ++nextCallId;
    openCalls.put(callId, new OpenCall(step, caller, incarnations, endMillis));
    step.adviceInFlight(true);
    long timeoutMillis = endMillis - nowMillis + caller.timeoutMarginMillis();
    state
        .actions()
        .add(new Action.RequestAdvice(callId, caller.id, step.name(), workerIds, timeoutMillis));
    return true;
  }

  private static boolean isShort(long callMillis) {
    return callMillis <= SHORT_CALL_MILLIS;
  }

  /** Returns whether a call under a policy is short when it names {@code workerCount} workers. */
  static boolean isShort(AdvicePolicy policy, int workerCount) {
    return isShort(policy.callMillis(workerCount));
  }

  /** Returns whether an instance is free for a short or a long call. */
  boolean hasFreeCaller(boolean shortCall, long nowMillis) {
    return freeCaller(shortCall, nowMillis) != null;
  }

  private Caller freeCaller(boolean shortCall, long nowMillis) {
    Caller best = generalCallers.isEmpty() ? null : generalCallers.first();
    if (shortCall && !shortCallCallers.isEmpty()) {
      Caller other = shortCallCallers.first();
      best = best == null || other.compareTo(best) < 0 ? other : best;
    }
    long latestMillis = shortCall ? nowMillis + SHORT_BACKLOG_MILLIS : nowMillis;
    return best != null && best.busyUntilMillis <= latestMillis ? best : null;
  }

  /** Stores the tickets that a call has returned. */
  void callAnswered(long callId, Map<String, String> tickets, long validMillis, long nowMillis) {
    OpenCall call = openCalls.remove(callId);
    if (call == null) {
      return;
    }
    call.caller().recordDelay(nowMillis - call.expectedEndMillis());
    markFree(call, nowMillis);
    StepRun step = call.step();
    step.adviceInFlight(false);
    updatePermittedShare(step.job().queueName(), call.incarnations().size(), tickets.size());
    for (Map.Entry<String, Long> named : call.incarnations().entrySet()) {
      String workerId = named.getKey();
      Worker worker = state.workers().get(workerId);
      if (worker != null && worker.incarnation() != named.getValue()) {
        // The answer may be about the incarnation that was named, so this one stays untested.
        continue;
      }
      String ticket = tickets.get(workerId);
      if (ticket == null) {
        step.tickets().remove(workerId);
        state.waiting().forbid(step, workerId);
        step.advisedAgainst().put(workerId, named.getValue());
      } else if (worker != null) {
        step.tickets()
            .put(workerId, new Ticket(ticket, worker.incarnation(), nowMillis + validMillis));
        state.waiting().permit(step, workerId);
      }
    }
    state.enqueueIfPlaceable(step);
  }

  /** Returns the average share of the named workers that were permitted for a queue. */
  double permittedShare(String queue) {
    return permittedShareByQueue.getOrDefault(queue, INITIAL_PERMITTED_SHARE);
  }

  private void updatePermittedShare(String queue, int namedCount, int permittedCount) {
    double share = Math.max(MIN_PERMITTED_SHARE, (double) permittedCount / namedCount);
    permittedShareByQueue.merge(queue, share, (old, now) -> old + SHARE_SMOOTHING * (now - old));
  }

  /** Handles a failed call and pauses its instance. */
  void callFailed(long callId, long nowMillis) {
    OpenCall call = openCalls.remove(callId);
    if (call == null) {
      return;
    }
    busyUntil(
        call.caller(), Math.max(call.caller().busyUntilMillis, nowMillis + FAILURE_PAUSE_MILLIS));
    call.step().adviceInFlight(false);
    call.step().adviceRetryAtMillis(nowMillis + RETRY_MILLIS);
    state.enqueueIfPlaceable(call.step());
  }

  private void markFree(OpenCall call, long nowMillis) {
    if (call.caller().busyUntilMillis <= call.expectedEndMillis()) {
      busyUntil(call.caller(), nowMillis);
    }
  }
}
