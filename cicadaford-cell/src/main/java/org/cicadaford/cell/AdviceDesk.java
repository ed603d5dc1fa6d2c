package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

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

  /**
   * Least time beyond its expected end after which a call is given up, in milliseconds. The service
   * tells how long a call takes; an answer that is later comes from an instance that is slow or cut
   * off. How late an instance usually answers is added {@link #LATENESS_FACTOR} times.
   */
  private static final long ANSWER_SLACK_MILLIS = 200;

  private static final int LATENESS_FACTOR = 3;

  /**
   * Lateness that is assumed of an instance before its first answer, in milliseconds: after a
   * restart of all processes answers come 50 to 240 ms late.
   */
  private static final double FIRST_LATENESS_MILLIS = 100;

  /** Weight of a new answer in an instance's lateness; about five answers count. */
  private static final double LATENESS_RATE = 0.2;

  /** Time for which an instance whose call was given up makes no other one, in milliseconds. */
  private static final long FAILED_AGENT_MILLIS = 500;

  /** Time after which a step asks again when a call has failed, in milliseconds. */
  private static final long RETRY_MILLIS = 50;

  /** Part of the workers that is taken as good before the first answer. */
  private static final double FIRST_GOOD_SHARE = 0.5;

  /** Least part that is assumed, so that a step for which none was good asks on. */
  private static final double LEAST_GOOD_SHARE = 0.05;

  /** Weight of a new answer in the learnt part; about ten answers count. */
  private static final double LEARNING_RATE = 0.1;

  /** A call that has not been answered. */
  private record OpenCall(StepRun step, Agent agent, List<String> asked, long expectedEndMillis) {}

  /** An instance that makes calls, one after the other. */
  private static final class Agent implements Comparable<Agent> {
    private final String id;
    private boolean shortOnly;
    private long busyUntilMillis;
    private double latenessMillis = FIRST_LATENESS_MILLIS;

    private Agent(String id, long nowMillis) {
      this.id = id;
      this.busyUntilMillis = nowMillis;
    }

    private void answeredLateBy(long millis) {
      latenessMillis += LATENESS_RATE * (Math.max(0, millis) - latenessMillis);
    }

    private long slackMillis() {
      return ANSWER_SLACK_MILLIS + Math.round(LATENESS_FACTOR * latenessMillis);
    }

    @Override
    public int compareTo(Agent other) {
      int order = Long.compare(busyUntilMillis, other.busyUntilMillis);
      return order != 0 ? order : id.compareTo(other.id);
    }
  }

  private final CellState state;
  private final TreeMap<String, Agent> agentsById = new TreeMap<>();
  private final TreeSet<Agent> forShortCalls = new TreeSet<>();
  private final TreeSet<Agent> forAllCalls = new TreeSet<>();
  private final Map<Long, OpenCall> openCalls = new HashMap<>();
  private final Map<String, Double> goodShareByQueue = new HashMap<>();
  private long nextCallId;

  AdviceDesk(CellState state) {
    this.state = state;
  }

  /** Takes the instances that can make calls now; open calls of the others are given up. */
  void agents(Set<String> instanceIds, long nowMillis) {
    if (instanceIds.equals(agentsById.keySet())) {
      return;
    }
    agentsById.keySet().retainAll(instanceIds);
    instanceIds.forEach(id -> agentsById.computeIfAbsent(id, key -> new Agent(key, nowMillis)));
    forShortCalls.clear();
    forAllCalls.clear();
    int shortOnly =
        agentsById.size() > 1 ? Math.max(1, agentsById.size() / INSTANCES_PER_SHORT_CALLER) : 0;
    for (Agent agent : agentsById.values()) {
      agent.shortOnly = shortOnly-- > 0;
      pool(agent).add(agent);
    }
    List<Long> abandoned = new ArrayList<>();
    openCalls.forEach(
        (callId, call) -> {
          if (agentsById.get(call.agent().id) != call.agent()) {
            abandoned.add(callId);
          }
        });
    abandoned.forEach(callId -> failed(callId, nowMillis));
  }

  private TreeSet<Agent> pool(Agent agent) {
    return agent.shortOnly ? forShortCalls : forAllCalls;
  }

  private void busyUntil(Agent agent, long untilMillis) {
    boolean known = pool(agent).remove(agent);
    agent.busyUntilMillis = untilMillis;
    if (known) {
      pool(agent).add(agent);
    }
  }

  /**
   * Asks for advice on a step; returns false if no instance is free.
   *
   * @param workers workers to name
   */
  boolean ask(StepRun step, AdvicePolicy policy, List<Worker> workers, long nowMillis) {
    long callMillis = policy.callMillis(workers.size());
    Agent agent = freeAgent(isShort(callMillis), nowMillis);
    if (agent == null) {
      return false;
    }
    long endMillis = Math.max(nowMillis, agent.busyUntilMillis) + callMillis;
    busyUntil(agent, endMillis);
    List<String> asked = workers.stream().map(Worker::id).toList();
    long callId = ++nextCallId;
    openCalls.put(callId, new OpenCall(step, agent, asked, endMillis));
    step.adviceInFlight(true);
    long timeoutMillis = endMillis - nowMillis + agent.slackMillis();
    state
        .actions()
        .add(new Action.RequestAdvice(callId, agent.id, step.name(), asked, timeoutMillis));
    return true;
  }

  private static boolean isShort(long callMillis) {
    return callMillis <= SHORT_CALL_MILLIS;
  }

  /** Returns whether calls of a policy are short even if they name {@code workerCount} workers. */
  static boolean isShort(AdvicePolicy policy, int workerCount) {
    return isShort(policy.callMillis(workerCount));
  }

  /** Returns whether an instance can make a short or a long call now. */
  boolean hasFree(boolean shortCall, long nowMillis) {
    return freeAgent(shortCall, nowMillis) != null;
  }

  private Agent freeAgent(boolean shortCall, long nowMillis) {
    Agent best = forAllCalls.isEmpty() ? null : forAllCalls.first();
    if (shortCall && !forShortCalls.isEmpty()) {
      Agent other = forShortCalls.first();
      best = best == null || other.compareTo(best) < 0 ? other : best;
    }
    long latestMillis = shortCall ? nowMillis + SHORT_BACKLOG_MILLIS : nowMillis;
    return best != null && best.busyUntilMillis <= latestMillis ? best : null;
  }

  /** Takes the tickets that a call has returned. */
  void answered(long callId, Map<String, String> tickets, long validMillis, long nowMillis) {
    OpenCall call = openCalls.remove(callId);
    if (call == null) {
      return;
    }
    call.agent().answeredLateBy(nowMillis - call.expectedEndMillis());
    freed(call, nowMillis);
    StepRun step = call.step();
    step.adviceInFlight(false);
    learn(step.job().queueName(), call.asked().size(), tickets.size());
    for (String workerId : call.asked()) {
      Worker worker = state.workers().get(workerId);
      String ticket = tickets.get(workerId);
      if (ticket == null) {
        step.tickets().remove(workerId);
        state.waiting().forbid(step, workerId);
        step.advisedAgainst().add(workerId);
      } else if (worker != null) {
        step.tickets()
            .put(workerId, new Ticket(ticket, worker.incarnation(), nowMillis + validMillis));
        state.waiting().permit(step, workerId);
      }
    }
    state.consider(step);
  }

  /** Returns the part of the workers named for a queue that may run its steps, as learnt so far. */
  double goodShare(String queue) {
    return goodShareByQueue.getOrDefault(queue, FIRST_GOOD_SHARE);
  }

  private void learn(String queue, int asked, int good) {
    double share = Math.max(LEAST_GOOD_SHARE, (double) good / asked);
    goodShareByQueue.merge(queue, share, (old, now) -> old + LEARNING_RATE * (now - old));
  }

  /** Takes the failure of a call. Its instance is left alone for a while. */
  void failed(long callId, long nowMillis) {
    OpenCall call = openCalls.remove(callId);
    if (call == null) {
      return;
    }
    busyUntil(
        call.agent(), Math.max(call.agent().busyUntilMillis, nowMillis + FAILED_AGENT_MILLIS));
    call.step().adviceInFlight(false);
    call.step().adviceRetryAtMillis(nowMillis + RETRY_MILLIS);
    state.consider(call.step());
  }

  private void freed(OpenCall call, long nowMillis) {
    if (call.agent().busyUntilMillis <= call.expectedEndMillis()) {
      busyUntil(call.agent(), nowMillis);
    }
  }
}
