package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.cicadaford.model.Resources;

/** Decides which workers a call for advice on a waiting step names, and when it is made. */
final class AdvicePlanner {

  /** Time that is left of a ticket when its renewal arrives, in milliseconds. */
  private static final long RENEWAL_MARGIN_MILLIS = 250;

  /** Time after which all workers are asked about again when none may run a step. */
  private static final long ASK_AGAIN_MILLIS = 1_000;

  private final CellState state;
  private final UsableWorkers usable;
  private final AdviceDesk desk;
  private final TreeSet<StepRun> queuedForShortCalls = new TreeSet<>(WaitingSteps.ORDER);
  private final TreeSet<StepRun> queuedForLongCalls = new TreeSet<>(WaitingSteps.ORDER);

  AdvicePlanner(CellState state, UsableWorkers usable, AdviceDesk desk) {
    this.state = state;
    this.usable = usable;
    this.desk = desk;
  }

  /**
   * Asks for the advice that a waiting step lacks, or queues it until an instance is free.
   *
   * <p>The first call names workers whatever room they have now, so that good ones are known when
   * room comes free. Tickets of the good ones are renewed before they end while the step waits.
   */
  void consider(StepRun step, Moment now) {
    AdvicePolicy policy = state.queueOf(step.job()).advice();
    long nowMillis = now.steadyMillis();
    if (!policy.needed() || step.adviceInFlight() || step.adviceDelayed(nowMillis)) {
      return;
    }
    boolean shortCall = AdviceDesk.isShort(policy, state.settings().adviceWorkerCount());
    TreeSet<StepRun> queue = shortCall ? queuedForShortCalls : queuedForLongCalls;
    queue.remove(step);
    if (!desk.hasFree(shortCall, nowMillis)) {
      queue.add(step);
      return;
    }
    List<Worker> named = toName(step, policy, nowMillis);
    if (!named.isEmpty() && !desk.ask(step, policy, named, nowMillis)) {
      queue.add(step);
    }
  }

  /** Asks for the advice on queued steps, the first ones first, while instances are free. */
  void askQueued(Moment now) {
    askQueued(queuedForShortCalls, true, now);
    askQueued(queuedForLongCalls, false, now);
  }

  private void askQueued(TreeSet<StepRun> queue, boolean shortCalls, Moment now) {
    while (!queue.isEmpty() && desk.hasFree(shortCalls, now.steadyMillis())) {
      StepRun step = queue.pollFirst();
      if (state.waiting().all().contains(step)) {
        consider(step, now);
      }
    }
  }

  private List<Worker> toName(StepRun step, AdvicePolicy policy, long nowMillis) {
    int limit = state.settings().adviceWorkerCount();
    boolean first = step.tickets().isEmpty() && step.advisedAgainst().isEmpty();
    if (first) {
      return unknown(step, limit, worker -> true);
    }
    List<Worker> good = known(step);
    if (!good.isEmpty() && !validAtAnswer(step, policy, good, nowMillis)) {
      return good;
    }
    Resources demand = step.spec().reservation();
    List<Worker> named = unknown(step, limit, worker -> demand.fitsIn(worker.free()));
    if (named.isEmpty() && good.isEmpty()) {
      // No worker is left that may run the step, so the earlier advice is not relied on.
      step.advisedAgainst().clear();
      step.adviceRetryAtMillis(nowMillis + ASK_AGAIN_MILLIS);
    }
    return named;
  }

  private List<Worker> known(StepRun step) {
    String service = state.queueOf(step.job()).service();
    List<Worker> good = new ArrayList<>();
    for (String workerId : step.tickets().keySet()) {
      Worker worker = state.workers().get(workerId);
      if (worker != null && usable.contains(worker, service)) {
        good.add(worker);
      }
    }
    return good;
  }

  private static boolean validAtAnswer(
      StepRun step, AdvicePolicy policy, List<Worker> good, long nowMillis) {
    long answerMillis = nowMillis + policy.callMillis(good.size()) + RENEWAL_MARGIN_MILLIS;
    return good.stream().anyMatch(worker -> step.ticketFor(worker, answerMillis) != null);
  }

  private List<Worker> unknown(StepRun step, int limit, Predicate<Worker> allowed) {
    return usable.largest(
        state.queueOf(step.job()).service(),
        step.spec().requiredLabel(),
        limit,
        worker ->
            !step.tickets().containsKey(worker.id())
                && !step.advisedAgainst().contains(worker.id())
                && allowed.test(worker));
  }
}
