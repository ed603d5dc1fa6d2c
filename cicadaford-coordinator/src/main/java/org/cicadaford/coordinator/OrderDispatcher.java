package org.cicadaford.coordinator;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.Coordinator;
import org.cicadaford.cell.FencingToken;
import org.cicadaford.cell.StartOutcome;
import org.cicadaford.coordinator.WorkerClient.RenewalOutcome;

/** Sends the orders of one epoch and passes the answers to the {@link Coordinator}. */
final class OrderDispatcher {

  private final long epoch;
  private final Coordinator coordinator;
  private final WorkerClient workers;
  private final HelperPool helpers;
  private final Supplier<ClockReading> clock;
  private final CellMetrics metrics;
  private final DecisionLog log;
  private final Runnable onAnswer;
  private final Runnable onReplaced;
  private final Consumer<Throwable> onFault;

  /**
   * Creates the dispatcher of an epoch.
   *
   * @param onAnswer runs after each answer
   * @param onReplaced runs when a worker follows a higher epoch
   * @param onFault receives the failure to process an answer
   */
  OrderDispatcher(
      long epoch,
      Coordinator coordinator,
      WorkerClient workers,
      HelperPool helpers,
      Supplier<ClockReading> clock,
      CellMetrics metrics,
      DecisionLog log,
      Runnable onAnswer,
      Runnable onReplaced,
      Consumer<Throwable> onFault) {
    this.epoch = epoch;
    this.coordinator = coordinator;
    this.workers = workers;
    this.helpers = helpers;
    this.clock = clock;
    this.metrics = metrics;
    this.log = log;
    this.onAnswer = onAnswer;
    this.onReplaced = onReplaced;
    this.onFault = onFault;
  }

  /** Sends an order to start a task. */
  void sendStart(Action.StartTask order) {
    long sentAtMillis = clock.get().monotonicMillis();
    FencingToken token = token(order.workerId());
    workers
        .start(order, token)
        .thenAccept(
            answer -> {
              ClockReading now = clock.get();
              metrics.recordOrderOutcome("start", answer.outcome().name());
              log.write(
                  "start",
                  order.task(),
                  answer.outcome().name(),
                  "run="
                      + order.run()
                      + " worker="
                      + order.workerId()
                      + " took_ms="
                      + (now.monotonicMillis() - sentAtMillis)
                      + " said="
                      + answer.detail());
              coordinator.startAnswered(
                  order.workerId(),
                  order.task(),
                  order.run(),
                  answer.outcome(),
                  answer.clockMillis(),
                  now);
              afterAnswer(
                  answer.outcome() == StartOutcome.FENCED && isNewest(order.workerId(), token));
            })
        .exceptionally(this::reportFault);
  }

  /** Sends an order to stop a task. */
  void sendStop(Action.StopTask order) {
    long requestNumber = coordinator.lastEventNumber();
    workers
        .stop(order, token(order.workerId()))
        .thenAccept(
            confirmed -> {
              metrics.recordOrderOutcome("stop", confirmed ? "CONFIRMED" : "NO_ANSWER");
              log.write(
                  "stop",
                  order.task(),
                  confirmed ? "confirmed" : "no-answer",
                  "run=" + order.run() + " worker=" + order.workerId() + " why=" + order.reason());
              if (confirmed) {
                coordinator.stopConfirmed(
                    order.workerId(), order.task(), order.run(), requestNumber, clock.get());
              }
              afterAnswer(false);
            })
        .exceptionally(this::reportFault);
  }

  /** Sends a lease renewal. */
  void sendRenewal(Action.Renew order) {
    long requestNumber = coordinator.lastEventNumber();
    FencingToken token = token(order.workerId());
    workers
        .renew(order, token, clock.get().monotonicMillis())
        .thenAccept(
            answer -> {
              metrics.recordOrderOutcome("renew", answer.outcome().name());
              // A failed renewal may raise the token.
              boolean newest = isNewest(order.workerId(), token);
              ClockReading now = clock.get();
              if (answer.outcome() == RenewalOutcome.REPORTED) {
                coordinator.reportReceived(answer.report(), requestNumber, now);
              } else {
                log.write(
                    "renew",
                    order.workerId(),
                    answer.outcome().name(),
                    "incarnation=" + order.incarnation());
                boolean gone = answer.outcome() == RenewalOutcome.GONE;
                coordinator.renewalFailed(order, gone, requestNumber, now);
              }
              afterAnswer(answer.outcome() == RenewalOutcome.FENCED && newest);
            })
        .exceptionally(this::reportFault);
  }

  private FencingToken token(String workerId) {
    return new FencingToken(epoch, coordinator.tokenOffset(workerId));
  }

  /**
   * Returns whether the worker has received no higher token from this coordinator. If it has, its
   * refusal of this one does not tell of another coordinator.
   */
  private boolean isNewest(String workerId, FencingToken token) {
    return token.offset() >= coordinator.tokenOffset(workerId);
  }

  private <T> T reportFault(Throwable failure) {
    onFault.accept(failure);
    return null;
  }

  private void afterAnswer(boolean fenced) {
    if (fenced) {
      // The worker follows a higher epoch, so another instance has claimed the journal.
      onReplaced.run();
    } else {
      onAnswer.run();
    }
  }

  /** Requests placement advice through a helper. */
  void requestAdvice(Action.RequestAdvice request) {
    helpers
        .requestAdvice(
            request.callerId(), request.step(), request.workerIds(), request.timeoutMillis())
        .handle(
            (advice, failure) -> {
              metrics.recordAdviceOutcome(failure == null ? "ANSWERED" : "FAILED");
              ClockReading now = clock.get();
              if (failure == null) {
                coordinator.adviceAnswered(
                    request.callId(), advice.ticketByWorker(), advice.validMillis(), now);
              } else {
                log.write(
                    "advice",
                    request.step(),
                    "failed",
                    "agent=" + request.callerId() + " " + failure);
                coordinator.adviceFailed(request.callId(), now);
              }
              onAnswer.run();
              return null;
            })
        .exceptionally(this::reportFault);
  }
}
