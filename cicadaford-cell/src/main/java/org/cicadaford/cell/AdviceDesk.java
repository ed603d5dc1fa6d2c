package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Spreads calls for placement advice over the instances of the cell.
 *
 * <p>The advice service answers one call at a time for each calling instance. So that short calls
 * of urgent queues do not wait behind long ones, a part of the instances makes only short calls.
 */
final class AdviceDesk {

  /** Longest call that counts as short, in milliseconds. */
  private static final long SHORT_CALL_MILLIS = 100;

  /** Longest backlog of an instance that still gets a short call, in milliseconds. */
  private static final long SHORT_BACKLOG_MILLIS = 150;

  /**
   * One of this many instances makes only short calls. At the users' load, long calls keep two to
   * four of seven instances busy, and short ones half of one; a queue before a single short caller
   * cost urgent jobs 100 ms.
   */
  private static final int INSTANCES_PER_SHORT_CALLER = 3;

  /** Time beyond its expected end after which a call is given up, in milliseconds. */
  private static final long ANSWER_SLACK_MILLIS = 700;

  /** Time after which a step asks again when a call has failed, in milliseconds. */
  private static final long RETRY_MILLIS = 50;

  /** A call that has not been answered. */
  private record OpenCall(StepRun step, String agent, List<String> asked, long expectedEndMillis) {}

  private final CellState state;
  private final TreeMap<String, Long> busyUntilByAgent = new TreeMap<>();
  private final Map<Long, OpenCall> openCalls = new HashMap<>();
  private long nextCallId;

  AdviceDesk(CellState state) {
    this.state = state;
  }

  /** Takes the instances that can make calls now. */
  void agents(Set<String> instanceIds, long nowMillis) {
    busyUntilByAgent.keySet().retainAll(instanceIds);
    instanceIds.forEach(id -> busyUntilByAgent.putIfAbsent(id, nowMillis));
  }

  /**
   * Asks for advice on a step, unless a call is open or no instance is free.
   *
   * @param workers workers to name, best first
   */
  void ask(StepRun step, AdvicePolicy policy, List<Worker> workers, long nowMillis) {
    if (step.adviceInFlight() || workers.isEmpty() || nowMillis < step.adviceRetryAtMillis()) {
      return;
    }
    long callMillis = policy.callMillis(workers.size());
    String agent = freeAgent(callMillis, nowMillis);
    if (agent == null) {
      return;
    }
    long startMillis = Math.max(nowMillis, busyUntilByAgent.get(agent));
    long endMillis = startMillis + callMillis;
    busyUntilByAgent.put(agent, endMillis);
    List<String> asked = workers.stream().map(Worker::id).toList();
    long callId = ++nextCallId;
    openCalls.put(callId, new OpenCall(step, agent, asked, endMillis));
    step.adviceInFlight(true);
    long timeoutMillis = endMillis - nowMillis + ANSWER_SLACK_MILLIS;
    state.actions().add(new Action.AskAdvice(callId, agent, step.name(), asked, timeoutMillis));
  }

  private String freeAgent(long callMillis, long nowMillis) {
    boolean shortCall = callMillis <= SHORT_CALL_MILLIS;
    int reserved =
        busyUntilByAgent.size() > 1
            ? Math.max(1, busyUntilByAgent.size() / INSTANCES_PER_SHORT_CALLER)
            : 0;
    long latestMillis = shortCall ? nowMillis + SHORT_BACKLOG_MILLIS : nowMillis;
    String best = null;
    int position = 0;
    for (Map.Entry<String, Long> agent : busyUntilByAgent.entrySet()) {
      boolean allowed = shortCall || position >= reserved;
      position++;
      if (!allowed || agent.getValue() > latestMillis) {
        continue;
      }
      if (best == null || agent.getValue() < busyUntilByAgent.get(best)) {
        best = agent.getKey();
      }
    }
    return best;
  }

  /** Takes the tickets that a call has returned. */
  void answered(long callId, Map<String, String> tickets, long validMillis, long nowMillis) {
    OpenCall call = openCalls.remove(callId);
    if (call == null) {
      return;
    }
    freed(call, nowMillis);
    StepRun step = call.step();
    step.adviceInFlight(false);
    for (String workerId : call.asked()) {
      Worker worker = state.workers().get(workerId);
      String ticket = tickets.get(workerId);
      if (ticket == null) {
        step.tickets().remove(workerId);
        step.advisedAgainst().add(workerId);
      } else if (worker != null) {
        step.tickets()
            .put(workerId, new Ticket(ticket, worker.incarnation(), nowMillis + validMillis));
      }
    }
    state.consider(step);
  }

  /** Takes the failure of a call. */
  void failed(long callId, long nowMillis) {
    OpenCall call = openCalls.remove(callId);
    if (call == null) {
      return;
    }
    call.step().adviceInFlight(false);
    call.step().adviceRetryAtMillis(nowMillis + RETRY_MILLIS);
    state.consider(call.step());
  }

  private void freed(OpenCall call, long nowMillis) {
    busyUntilByAgent.computeIfPresent(
        call.agent(),
        (agent, busyUntil) -> busyUntil <= call.expectedEndMillis() ? nowMillis : busyUntil);
  }

  /**
   * Returns the workers to name for a step: those that are known to be good, then those not asked
   * yet, and none that it is advised against.
   */
  List<Worker> toName(StepRun step, List<Worker> candidates, int limit) {
    Set<String> known = new HashSet<>(step.tickets().keySet());
    List<Worker> named = new ArrayList<>();
    for (Worker worker : candidates) {
      if (known.contains(worker.id()) && named.size() < limit) {
        named.add(worker);
      }
    }
    for (Worker worker : candidates) {
      boolean open = !known.contains(worker.id()) && !step.advisedAgainst().contains(worker.id());
      if (open && named.size() < limit) {
        named.add(worker);
      }
    }
    return named;
  }
}
