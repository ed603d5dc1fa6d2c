package org.cicadaford.coordinator;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.Coordinator;
import org.cicadaford.cell.StartOutcome;
import org.cicadaford.coordinator.WorkerClient.RenewalOutcome;

/** Sends the orders of one epoch and hands their answers to the {@link Coordinator}. */
final class OrderSender {

  private final long epoch;
  private final Coordinator coordinator;
  private final WorkerClient orders;
  private final HelperPool helpers;
  private final Supplier<ClockReading> clock;
  private final CellMetrics metrics;
  private final DecisionLog log;
  private final Runnable answered;
  private final Runnable replaced;
  private final Consumer<Throwable> broken;

  /**
   * Creates the sender of an epoch.
   *
   * @param answered called after each answer
   * @param replaced called when a worker follows a higher epoch
   * @param broken called when an answer could not be applied
   */
  OrderSender(
      long epoch,
      Coordinator coordinator,
      WorkerClient orders,
      HelperPool helpers,
      Supplier<ClockReading> clock,
      CellMetrics metrics,
      DecisionLog log,
      Runnable answered,
      Runnable replaced,
      Consumer<Throwable> broken) {
    this.epoch = epoch;
    this.coordinator = coordinator;
    this.orders = orders;
    this.helpers = helpers;
    this.clock = clock;
    this.metrics = metrics;
    this.log = log;
    this.answered = answered;
    this.replaced = replaced;
    this.broken = broken;
  }

  /** Sends a start. */
  void start(Action.StartTask order) {
    long sentAtMillis = clock.get().monotonicMillis();
    orders
        .start(order, epoch)
        .thenAccept(
            answer -> {
              ClockReading now = clock.get();
              metrics.orderAnswered("start", answer.outcome().name());
              log.decision(
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
              afterAnswer(answer.outcome() == StartOutcome.FENCED);
            })
        .exceptionally(this::failed);
  }

  /** Sends a stop. */
  void stop(Action.StopTask order) {
    orders
        .stop(order, epoch)
        .thenAccept(
            confirmed -> {
              metrics.orderAnswered("stop", confirmed ? "CONFIRMED" : "NO_ANSWER");
              log.decision(
                  "stop",
                  order.task(),
                  confirmed ? "confirmed" : "no-answer",
                  "run=" + order.run() + " worker=" + order.workerId() + " why=" + order.reason());
              if (confirmed) {
                coordinator.stopConfirmed(order.workerId(), order.task(), order.run(), clock.get());
              }
              afterAnswer(false);
            })
        .exceptionally(this::failed);
  }

  /** Sends a renewal. */
  void renew(Action.Renew order) {
    orders
        .renew(order, epoch, clock.get().monotonicMillis())
        .thenAccept(
            answer -> {
              metrics.orderAnswered("renew", answer.outcome().name());
              ClockReading now = clock.get();
              if (answer.outcome() == RenewalOutcome.REPORTED) {
                coordinator.reportReceived(answer.report(), now);
              } else {
                log.decision(
                    "renew",
                    order.workerId(),
                    answer.outcome().name(),
                    "incarnation=" + order.incarnation());
                coordinator.renewalFailed(
                    order.workerId(), answer.outcome() == RenewalOutcome.GONE, now);
              }
              afterAnswer(answer.outcome() == RenewalOutcome.FENCED);
            })
        .exceptionally(this::failed);
  }

  private <T> T failed(Throwable failure) {
    broken.accept(failure);
    return null;
  }

  private void afterAnswer(boolean fenced) {
    if (fenced) {
      // A worker follows a higher epoch, so another instance has claimed the journal.
      replaced.run();
    } else {
      answered.run();
    }
  }

  /** Asks for advice. */
  void ask(Action.RequestAdvice request) {
    helpers
        .ask(request.callerId(), request.step(), request.workerIds(), request.timeoutMillis())
        .handle(
            (advice, failure) -> {
              metrics.adviceAnswered(failure == null ? "ANSWERED" : "FAILED");
              ClockReading now = clock.get();
              if (failure == null) {
                coordinator.adviceAnswered(
                    request.callId(), advice.ticketByWorker(), advice.validMillis(), now);
              } else {
                log.decision(
                    "advice",
                    request.step(),
                    "failed",
                    "agent=" + request.callerId() + " " + failure);
                coordinator.adviceFailed(request.callId(), now);
              }
              answered.run();
              return null;
            })
        .exceptionally(this::failed);
  }
}
