package org.cicadaford.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.cicadaford.cell.SimulatedNetwork.FirstAnswer;
import org.cicadaford.cell.SimulatedNetwork.Receiver;
import org.cicadaford.cell.SimulatedNetwork.Sender;

/** Delivers renewals to simulated workers, and their reports. */
final class SimulatedRenewals {

  private final SimulatedCell cell;
  private final SimulatedNetwork network;
  private final Map<String, Long> newestClocks = new HashMap<>();

  SimulatedRenewals(SimulatedCell cell, SimulatedNetwork network) {
    this.cell = cell;
    this.network = network;
  }

  private void countOvertaken(WorkerReport report) {
    String life = report.workerId() + "/" + report.incarnation();
    if (report.clockMillis() < newestClocks.getOrDefault(life, 0L)) {
      network.count("overtaken report");
    }
    newestClocks.merge(life, report.clockMillis(), Math::max);
  }

  /** The answer to a renewal, without a report if it failed. */
  private record RenewalAnswer(WorkerReport report, boolean gone) {
    private static final RenewalAnswer NONE = new RenewalAnswer(null, false);
    private static final RenewalAnswer GONE = new RenewalAnswer(null, true);
  }

  void renew(Action.Renew order, Sender sender) {
    long token = sender.token(order.workerId());
    long sentAtMillis = cell.nowMillis;
    long requestNumber = sender.coordinator().lastEventNumber();
    FirstAnswer<RenewalAnswer> first =
        new FirstAnswer<>(
            answer -> {
              if (!cell.active(sender)) {
                return;
              }
              if (answer.gone()) {
                cell.incident("gone " + order.workerId() + " renewal of " + sentAtMillis);
              }
              if (answer.report() == null) {
                sender
                    .coordinator()
                    .renewalFailed(order, answer.gone(), requestNumber, cell.moment());
              } else {
                countOvertaken(answer.report());
                cell.reportArrived(answer.report(), sender, requestNumber);
              }
            });
    if (network.occurs(network.pausedRelay)) {
      Receiver receiver = network.receiver(order.address());
      network.hedge(
          order.waitMillis(),
          () -> {
            Receiver now = network.atAddress(order.address(), receiver);
            if (network.reaches(now, "relayed renewal")) {
              network.count("relayed renewal");
              deliverRenewal(order, token, now.worker(), sentAtMillis, first::accept);
            }
          },
          () -> sendRenewal(order.withoutWait(), token, sentAtMillis, first::accept),
          () -> first.answered);
      return;
    }
    sendRenewal(order, token, sentAtMillis, first::accept);
  }

  private void sendRenewal(
      Action.Renew order, long token, long sentAtMillis, Consumer<RenewalAnswer> answer) {
    Receiver receiver = network.receiver(order.address());
    if (network.occurs(network.lateRenewal)) {
      cell.after(order.timeoutMillis(), () -> answer.accept(RenewalAnswer.NONE));
      long delayMillis = cell.random.nextBoolean() ? 5 : network.lateMillis();
      cell.after(
          delayMillis,
          () -> {
            if (network.reaches(receiver, "renewal")
                && receiver.worker().id.equals(order.workerId())) {
              network.countLate(receiver, "renewal");
              receiver.worker().renew(token, order, cell.rules::acknowledged);
            }
          });
      return;
    }
    if (receiver == null || !receiver.worker().reachable) {
      cell.after(failureMillis(order, receiver == null), () -> answer.accept(RenewalAnswer.NONE));
      return;
    }
    deliverRenewal(order, token, receiver.worker(), sentAtMillis, answer);
  }

  /** Returns the time after which a renewal without an answer fails. */
  private long failureMillis(Action.Renew order, boolean down) {
    return down && cell.crashes.closedConnections
        ? SimulatedNetwork.CLOSED_MILLIS
        : order.timeoutMillis();
  }

  private void deliverRenewal(
      Action.Renew order,
      long token,
      SimulatedWorker worker,
      long sentAtMillis,
      Consumer<RenewalAnswer> answer) {
    if (!worker.id.equals(order.workerId())) {
      network.count("renewal to another id");
      cell.after(network.answerMillis("refusal"), () -> answer.accept(RenewalAnswer.GONE));
      return;
    }
    if (worker.renew(token, order, cell.rules::acknowledged)) {
      long untilMillis = cell.nowMillis + order.waitMillis();
      Receiver life = new Receiver(worker, worker.incarnation);
      pollRenewal(order, life, sentAtMillis, untilMillis, answer);
    } else {
      network.count("fenced renewal");
      cell.after(network.answerMillis("refusal"), () -> answer.accept(RenewalAnswer.NONE));
    }
  }

  private void pollRenewal(
      Action.Renew order,
      Receiver life,
      long sentAtMillis,
      long untilMillis,
      Consumer<RenewalAnswer> answer) {
    SimulatedWorker worker = life.worker();
    if (!worker.up
        || worker.incarnation != life.incarnation()
        || !worker.reachable
        || cell.random.nextDouble() < cell.faults.lostAnswer()) {
      cell.after(failureMillis(order, !worker.up), () -> answer.accept(RenewalAnswer.NONE));
      return;
    }
    if (!worker.hasUnacknowledgedEnds(order.acknowledgedEnd()) && cell.nowMillis < untilMillis) {
      cell.after(20, () -> pollRenewal(order, life, sentAtMillis, untilMillis, answer));
      return;
    }
    WorkerReport report = worker.report(sentAtMillis);
    cell.after(
        network.answerMillis("report"), () -> answer.accept(new RenewalAnswer(report, false)));
  }
}
