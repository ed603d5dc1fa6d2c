package org.cicadaford.cell;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Delivers the orders of coordinators to simulated workers, and their answers, with faults. */
final class SimulatedNetwork {

  /** Delay after which an unanswered relayed order is also sent directly. */
  private static final long HEDGE_DELAY_MILLIS = 80;

  private static final long ORDER_TIMEOUT_MILLIS = 300;

  /** Time after which a call fails whose worker crashes when it has carried it out. */
  static final long CLOSED_MILLIS = 12;

  /** A coordinator and the epoch of its orders. */
  record Sender(Coordinator coordinator, long epoch) {}

  /** A worker process in one life, as the receiver of an order. */
  record Receiver(SimulatedWorker worker, long incarnation) {}

  /** Probability that a stop is not answered and is carried out late. */
  double lateStop;

  /** Probability that a renewal is not answered and is carried out late. */
  double lateRenewal;

  /** Probability that an answer is delayed by up to 0.5 s. */
  double delayedAnswer;

  /** Probability that an order goes through a relay that is paused. */
  double pausedRelay;

  /** Probability that a worker refuses a start because it is unhealthy. */
  double refusedStart;

  /** Whether a worker carries out orders that were sent to an earlier life of the same id. */
  boolean earlierLifeOrders;

  /** Numbers of the faults that took effect. */
  final Map<String, Integer> counts = new TreeMap<>();

  private final SimulatedCell cell;
  private final SimulatedRenewals renewals;

  SimulatedNetwork(SimulatedCell cell) {
    this.cell = cell;
    this.renewals = new SimulatedRenewals(cell, this);
  }

  void count(String fault) {
    counts.merge(fault, 1, Integer::sum);
  }

  int countOf(String fault) {
    return counts.getOrDefault(fault, 0);
  }

  /** Draws only for probabilities above 0, so that other faults keep their seeds. */
  boolean occurs(double probability) {
    return probability > 0 && cell.random.nextDouble() < probability;
  }

  long lateMillis() {
    return 2_000 + cell.random.nextInt(10_000);
  }

  long answerMillis(String what) {
    if (occurs(delayedAnswer)) {
      count("delayed " + what);
      return 2 + cell.random.nextInt(500);
    }
    return 2;
  }

  Receiver receiver(String address) {
    SimulatedWorker worker = cell.workerAt(address);
    return worker == null ? null : new Receiver(worker, worker.incarnation);
  }

  /** Returns the worker that now has the address to which a relay sends an order of that time. */
  Receiver atAddress(String address, Receiver sentTo) {
    SimulatedWorker worker = cell.workerAt(address);
    if (worker == null || sentTo == null || worker != sentTo.worker()) {
      return receiver(address);
    }
    return sentTo;
  }

  /** Returns whether an order that was sent to a life reaches the current one. */
  boolean reaches(Receiver receiver, String what) {
    if (receiver == null || !receiver.worker().up) {
      return false;
    }
    if (receiver.worker().incarnation == receiver.incarnation()) {
      return true;
    }
    if (earlierLifeOrders) {
      count(what + " to an earlier life");
    }
    return earlierLifeOrders;
  }

  void countLate(Receiver receiver, String what) {
    count("late " + what);
    if (!receiver.worker().reachable) {
      count("late " + what + " while cut off");
    }
  }

  /** Passes on the first answer to an order. */
  static final class FirstAnswer<T> {
    private final Consumer<T> handler;
    boolean answered;

    /** Whether the order has also been sent directly. */
    boolean sentTwice;

    FirstAnswer(Consumer<T> handler) {
      this.handler = handler;
    }

    void accept(T answer) {
      if (!answered) {
        answered = true;
        handler.accept(answer);
      }
    }
  }

  /** Sends a relayed copy that is delayed, and a direct one after the hedge delay. */
  void hedge(long waitMillis, Runnable relayed, Runnable direct, Supplier<Boolean> done) {
    boolean slow = cell.random.nextInt(3) == 0;
    long delayMillis = slow ? 60 + cell.random.nextInt(140) : 200 + cell.random.nextInt(8_000);
    cell.after(delayMillis, relayed);
    cell.after(
        waitMillis + HEDGE_DELAY_MILLIS,
        () -> {
          if (!done.get()) {
            count("second copy");
            direct.run();
          }
        });
  }

  /** The answer to a start; the worker is null if there is none. */
  private record StartAnswer(StartOutcome outcome, SimulatedWorker worker) {
    private static final StartAnswer NONE = new StartAnswer(StartOutcome.UNKNOWN, null);

    /** The result of a connection that was refused, so that no order was sent. */
    private static final StartAnswer REFUSED = new StartAnswer(StartOutcome.NOT_STARTED, null);
  }

  void renew(Action.Renew order, Sender sender) {
    renewals.renew(order, sender);
  }

  void start(Action.StartTask order, Sender sender) {
    FirstAnswer<StartAnswer> first =
        new FirstAnswer<>(
            answer -> {
              if (cell.active(sender)) {
                long clock = answer.worker() == null ? 0 : answer.worker().clock();
                sender
                    .coordinator()
                    .startAnswered(
                        order.workerId(),
                        order.task(),
                        order.run(),
                        answer.outcome(),
                        clock,
                        cell.moment());
              }
            });
    if (occurs(pausedRelay)) {
      Receiver receiver = receiver(order.address());
      hedge(
          0,
          () ->
              deliverStart(
                  order,
                  sender,
                  atAddress(order.address(), receiver),
                  true,
                  "relayed start",
                  answer -> first.accept(first.sentTwice ? resolveDuplicate(answer) : answer)),
          () -> {
            first.sentTwice = true;
            sendStart(order, sender, answer -> first.accept(resolveDuplicate(answer)));
          },
          () -> first.answered);
      return;
    }
    sendStart(order, sender, first::accept);
  }

  /** Returns the outcome of a start that was sent twice, like the client of the coordinator. */
  private static StartAnswer resolveDuplicate(StartAnswer answer) {
    return answer.outcome() == StartOutcome.STARTED
        ? answer
        : new StartAnswer(StartOutcome.UNKNOWN, answer.worker());
  }

  private void sendStart(Action.StartTask order, Sender sender, Consumer<StartAnswer> answer) {
    Receiver receiver = receiver(order.address());
    boolean late = cell.random.nextDouble() < cell.faults.lateOrder();
    boolean lost = late || cell.random.nextDouble() < cell.faults.lostAnswer();
    long lateMillis = cell.lateOrderMillis > 0 ? cell.lateOrderMillis : lateMillis();
    long delayMillis = late ? lateMillis : 1 + cell.random.nextInt(5);
    if (late) {
      cell.after(ORDER_TIMEOUT_MILLIS, () -> answer.accept(StartAnswer.NONE));
      cell.after(
          delayMillis,
          () -> {
            if (reaches(receiver, "start") && receiver.worker().id.equals(order.workerId())) {
              countLate(receiver, "start");
              cell.carryOutStart(receiver.worker(), order, sender.epoch());
            }
          });
      return;
    }
    if (receiver == null && cell.crashes.closedConnections) {
      cell.after(delayMillis, () -> answer.accept(StartAnswer.REFUSED));
      return;
    }
    cell.after(
        delayMillis,
        () -> {
          boolean arrives = reaches(receiver, "start") && receiver.worker().reachable;
          if (arrives) {
            deliverStart(order, sender, receiver, !lost, "start", answer);
          }
          if (lost || !arrives) {
            cell.after(failureMillis(receiver), () -> answer.accept(StartAnswer.NONE));
          }
        });
  }

  private void deliverStart(
      Action.StartTask order,
      Sender sender,
      Receiver receiver,
      boolean answers,
      String what,
      Consumer<StartAnswer> answer) {
    boolean relayed = !"start".equals(what);
    if (relayed && !reaches(receiver, what)) {
      return;
    }
    SimulatedWorker worker = receiver.worker();
    StartOutcome outcome;
    if (!worker.id.equals(order.workerId())) {
      count("start to another id");
      outcome = StartOutcome.NOT_STARTED;
    } else if (occurs(refusedStart)) {
      count("refused start");
      outcome = StartOutcome.NOT_STARTED;
    } else {
      outcome = cell.carryOutStart(worker, order, sender.epoch());
    }
    if (relayed) {
      count("relayed start " + outcome);
    }
    if (cell.crashes.losesAnswer(order.task())) {
      count("unanswered start");
      cell.after(CLOSED_MILLIS, () -> answer.accept(StartAnswer.NONE));
    } else if (answers) {
      cell.after(
          answerMillis("start answer"), () -> answer.accept(new StartAnswer(outcome, worker)));
    }
  }

  /** Returns the time after which a call without an answer fails. */
  private long failureMillis(Receiver receiver) {
    boolean closed = receiver != null && !receiver.worker().up;
    return closed && cell.crashes.closedConnections ? CLOSED_MILLIS : ORDER_TIMEOUT_MILLIS;
  }

  void stop(Action.StopTask order, Sender sender) {
    long requestNumber = sender.coordinator().lastEventNumber();
    FirstAnswer<Boolean> first =
        new FirstAnswer<>(
            confirmed -> {
              if (confirmed && cell.active(sender)) {
                sender
                    .coordinator()
                    .stopConfirmed(
                        order.workerId(), order.task(), order.run(), requestNumber, cell.moment());
              }
            });
    if (occurs(pausedRelay)) {
      Receiver receiver = receiver(order.address());
      hedge(
          0,
          () -> {
            Receiver now = atAddress(order.address(), receiver);
            if (reaches(now, "relayed stop")) {
              count("relayed stop");
              deliverStop(order, sender, now.worker(), first::accept);
            }
          },
          () -> sendStop(order, sender, first::accept),
          () -> first.answered);
      return;
    }
    sendStop(order, sender, first::accept);
  }

  private void sendStop(Action.StopTask order, Sender sender, Consumer<Boolean> answer) {
    Receiver receiver = receiver(order.address());
    boolean lost = cell.random.nextDouble() < cell.faults.lostAnswer();
    boolean late = occurs(lateStop);
    long delayMillis = late ? lateMillis() : 1 + cell.random.nextInt(5);
    cell.after(
        delayMillis,
        () -> {
          if (!reaches(receiver, "stop") || !(late || receiver.worker().reachable)) {
            return;
          }
          if (late) {
            countLate(receiver, "stop");
          }
          deliverStop(order, sender, receiver.worker(), lost || late ? ok -> {} : answer);
        });
  }

  private void deliverStop(
      Action.StopTask order, Sender sender, SimulatedWorker worker, Consumer<Boolean> answer) {
    boolean confirmed =
        worker.id.equals(order.workerId())
            && worker.stop(order.task(), order.run(), sender.epoch(), cell.nowMillis);
    if (delayedAnswer > 0) {
      cell.after(answerMillis("stop answer"), () -> answer.accept(confirmed));
    } else {
      answer.accept(confirmed);
    }
  }
}
