package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.FencingToken;
import org.cicadaford.cell.ReportedEnd;
import org.cicadaford.cell.ReportedRun;
import org.cicadaford.cell.StartOutcome;
import org.cicadaford.cell.StopReason;
import org.cicadaford.cell.WorkerReport;
import org.cicadaford.coordinator.WorkerClient.RenewalAnswer;
import org.cicadaford.coordinator.WorkerClient.RenewalOutcome;
import org.cicadaford.coordinator.WorkerClient.StartAnswer;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.wire.PeerMessage;

/** Tests that a failed or unresponsive relay delays orders only briefly. */
class RelayingWorkerClientTest {

  private static final Action.StartTask START =
      new Action.StartTask("w", "w:1", "job.0.0.0", 1, "payload", "", "ticket", 5_000);
  private static final FencingToken TOKEN = new FencingToken(9, 0);
  private static final StartAnswer STARTED = new StartAnswer(StartOutcome.STARTED, 77, "200");

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final List<PeerMessage.OrderRequest> relayed = new ArrayList<>();
  private final List<CompletableFuture<PeerMessage>> relayAnswers = new ArrayList<>();
  private final List<String> unresponsive = new ArrayList<>();
  private final List<Action> sentDirect = new ArrayList<>();
  private Optional<String> relay = Optional.of("e1");
  private StartAnswer directAnswer = STARTED;
  private CompletableFuture<StartAnswer> pendingDirectAnswer;
  private int workerCount = 260;
  private long nowMillis = 1_000;

  private final RelayPool relays =
      new RelayPool() {
        @Override
        public Optional<String> selectRelay(String workerId, String zone) {
          return relay;
        }

        @Override
        public void markUnresponsive(String instanceId) {
          unresponsive.add(instanceId);
        }

        @Override
        public CompletableFuture<PeerMessage> relay(
            String instanceId, PeerMessage.OrderRequest order) {
          relayed.add(order);
          CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
          relayAnswers.add(answer);
          return answer;
        }
      };

  private final WorkerClient direct =
      new WorkerClient() {
        @Override
        public CompletableFuture<StartAnswer> start(Action.StartTask order, FencingToken token) {
          sentDirect.add(order);
          return pendingDirectAnswer != null
              ? pendingDirectAnswer
              : CompletableFuture.completedFuture(directAnswer);
        }

        @Override
        public CompletableFuture<Boolean> stop(Action.StopTask order, FencingToken token) {
          sentDirect.add(order);
          return CompletableFuture.completedFuture(true);
        }

        @Override
        public CompletableFuture<RenewalAnswer> renew(
            Action.Renew order, FencingToken token, long nowMillis) {
          sentDirect.add(order);
          return CompletableFuture.completedFuture(RenewalAnswer.of(RenewalOutcome.NO_ANSWER));
        }
      };

  private RelayingWorkerClient client() {
    channel.freezeTime();
    return new RelayingWorkerClient(
        direct,
        relays,
        id -> Optional.of("zone"),
        () -> workerCount,
        channel.eventLoop(),
        () -> nowMillis,
        new CellMetrics());
  }

  private void advanceTime(long millis) {
    nowMillis += millis;
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
    channel.runPendingTasks();
  }

  private void answer(Object content) {
    relayAnswers.getLast().complete(new PeerMessage.OrderAnswer(RecordCodec.encode(content)));
    channel.runPendingTasks();
  }

  /** Guards against sending an order twice although the relay has answered. */
  @Example
  void relayAnswerIsUsed() {
    CompletableFuture<StartAnswer> answer = client().start(START, TOKEN);
    assertThat(relayed).singleElement().satisfies(order -> assertThat(order.epoch()).isEqualTo(9));
    answer(STARTED);
    assertThat(answer).isCompletedWithValue(STARTED);
    advanceTime(1_000);
    assertThat(sentDirect).isEmpty();
    assertThat(unresponsive).isEmpty();
  }

  /**
   * Guards against answers of an incompatible relay: a value that is null ended the coordinator,
   * and an answer without content left the order open for ever.
   */
  @Example
  void incompleteRelayAnswersAreNotUsed() {
    List<Object> odd = new ArrayList<>();
    odd.add(new StartAnswer(null, 77, "200"));
    odd.add("text");
    for (Object content : odd) {
      CompletableFuture<StartAnswer> answer = client().start(START, TOKEN);
      answer(content);
      assertThat(answer).as(content.toString()).isCompletedWithValue(STARTED);
    }
    CompletableFuture<StartAnswer> empty = client().start(START, TOKEN);
    relayAnswers.getLast().complete(new PeerMessage.OrderAnswer(null));
    channel.runPendingTasks();
    assertThat(empty).isCompletedWithValue(STARTED);
    Action.Renew renewal = new Action.Renew("w", 1, "w:1", 0, 0, 0, 1_000);
    ReportedRun run = new ReportedRun(null, 1, "", 0, 0);
    ReportedEnd end = new ReportedEnd(1, "j.0.0.0", 1, null, "");
    for (WorkerReport report :
        Arrays.asList(
            null,
            new WorkerReport("w", 1, 1, 1, null, List.of(), true),
            new WorkerReport("w", 1, 1, 1, List.of(run), List.of(), true),
            new WorkerReport("w", 1, 1, 1, List.of(), List.of(end), true),
            new WorkerReport("w", 1, 1, 1, List.of(), Arrays.asList((ReportedEnd) null), true),
            new WorkerReport("other", 1, 1, 1, List.of(), List.of(), true))) {
      CompletableFuture<RenewalAnswer> answer = client().renew(renewal, TOKEN, nowMillis);
      answer(new RenewalAnswer(RenewalOutcome.REPORTED, report));
      assertThat(answer)
          .as("%s", report)
          .isCompletedWithValue(RenewalAnswer.of(RenewalOutcome.NO_ANSWER));
    }
  }

  /** Guards against starts that wait for a frozen or partitioned relay. */
  @Example
  void unresponsiveRelayIsBypassedAndMarked() {
    CompletableFuture<StartAnswer> answer = client().start(START, TOKEN);
    advanceTime(79);
    assertThat(sentDirect).isEmpty();
    advanceTime(1);
    assertThat(sentDirect).containsExactly(START);
    assertThat(answer).isCompletedWithValue(STARTED);
    assertThat(unresponsive).containsExactly("e1");
    answer(new StartAnswer(StartOutcome.NOT_STARTED, 0, "late"));
    assertThat(answer.join()).isEqualTo(STARTED);
  }

  /**
   * Guards against a second run of a task: the relay executes the start late, and the worker
   * rejects the duplicate that was sent directly. Found by the fault hunt: retorno-sul, mix --seed
   * 422434139507.
   */
  @Example
  void rejectedDuplicateStartHasUnknownOutcome() {
    directAnswer = new StartAnswer(StartOutcome.BAD_TICKET, 77, "409ticket");
    CompletableFuture<StartAnswer> answer = client().start(START, TOKEN);
    advanceTime(80);
    assertThat(answer.join().outcome()).isEqualTo(StartOutcome.UNKNOWN);
    workerCount = 32;
    assertThat(client().start(START, TOKEN).join().outcome()).isEqualTo(StartOutcome.BAD_TICKET);
  }

  /** Guards against a second run of a task whose directly sent order is executed afterwards. */
  @Property
  void relayRejectionAfterTheDirectOrderHasUnknownOutcome(
      @ForAll("rejections") StartOutcome rejection) {
    sentDirect.clear();
    pendingDirectAnswer = new CompletableFuture<>();
    CompletableFuture<StartAnswer> answer = client().start(START, TOKEN);
    advanceTime(80);
    assertThat(sentDirect).containsExactly(START);
    answer(new StartAnswer(rejection, 77, "rejected"));
    assertThat(answer.join().outcome()).isEqualTo(StartOutcome.UNKNOWN);
  }

  @Provide
  Arbitrary<StartOutcome> rejections() {
    return Arbitraries.of(StartOutcome.NO_ROOM, StartOutcome.NOT_STARTED, StartOutcome.BAD_TICKET);
  }

  /**
   * Guards against workers that get no orders during an upgrade: a relay of the earlier build sends
   * the epoch instead of the token, which a worker that has restarted refuses.
   */
  @Example
  void orderRefusedThroughARelayIsSentDirectlyIfItsTokenIsNotTheEpoch() {
    FencingToken raised = new FencingToken(9, 2);
    CompletableFuture<StartAnswer> start = client().start(START, raised);
    assertThat(relayed.getLast().epoch()).isEqualTo(9);
    assertThat(relayed.getLast().tokenOffset()).isEqualTo(2);
    answer(new StartAnswer(StartOutcome.FENCED, 0, "409fence"));
    assertThat(start).isCompletedWithValue(STARTED);
    Action.StopTask stop = new Action.StopTask("w", "w:1", "t", 1, StopReason.CANCELLED);
    CompletableFuture<Boolean> stopped = client().stop(stop, raised);
    answer(false);
    assertThat(stopped).isCompletedWithValue(true);
    Action.Renew renewal = new Action.Renew("w", 1, "w:1", 4, 9_000, 0, 600);
    client().renew(renewal, raised, 500);
    answer(RenewalAnswer.of(RenewalOutcome.FENCED));
    assertThat(sentDirect).containsExactly(START, stop, renewal);
    assertThat(unresponsive).isEmpty();
  }

  /** Guards against orders of a replaced coordinator that pass a relay which refuses its epoch. */
  @Example
  void orderRefusedThroughARelayIsNotRepeatedIfItsTokenIsTheEpoch() {
    CompletableFuture<StartAnswer> start = client().start(START, TOKEN);
    answer(new StartAnswer(StartOutcome.FENCED, 0, "a coordinator with a higher epoch is known"));
    assertThat(start.join().outcome()).isEqualTo(StartOutcome.FENCED);
    assertThat(sentDirect).isEmpty();
  }

  /** Guards against waiting for a killed relay. */
  @Example
  void failedRelayIsBypassedImmediately() {
    CompletableFuture<Boolean> answer =
        client().stop(new Action.StopTask("w", "w:1", "t", 1, StopReason.CANCELLED), TOKEN);
    relayAnswers.getLast().completeExceptionally(new IllegalStateException("closed"));
    channel.runPendingTasks();
    assertThat(answer).isCompletedWithValue(true);
    assertThat(sentDirect).hasSize(1);
    advanceTime(1_000);
    assertThat(sentDirect).hasSize(1);
  }

  /** Guards against an unexpected or malformed answer that ends the coordinator. */
  @Example
  void unreadableAnswerOfARelayIsAFailure() {
    RelayingWorkerClient client = client();
    CompletableFuture<StartAnswer> refused = client.start(START, TOKEN);
    relayAnswers.getLast().complete(new PeerMessage.Refusal("no"));
    channel.runPendingTasks();
    assertThat(refused).isCompletedWithValue(STARTED);
    CompletableFuture<StartAnswer> malformed = client.start(START, TOKEN);
    relayAnswers.getLast().complete(new PeerMessage.OrderAnswer(new byte[] {(byte) 0xc1, 7}));
    channel.runPendingTasks();
    assertThat(malformed).isCompletedWithValue(STARTED);
    assertThat(sentDirect).hasSize(2);
  }

  /** Guards against repeating a renewal while the worker may still delay its answer. */
  @Example
  void delayedRenewalIsRepeatedOnlyAfterItsWait() {
    Action.Renew renewal = new Action.Renew("w", 1, "w:1", 4, 9_000, 1_000, 1_600);
    CompletableFuture<RenewalAnswer> answer = client().renew(renewal, TOKEN, 500);
    advanceTime(1_000);
    assertThat(sentDirect).isEmpty();
    WorkerReport report = new WorkerReport("w", 1, 60, 0, List.of(), List.of(), true);
    answer(new RenewalAnswer(RenewalOutcome.REPORTED, report));
    assertThat(answer.join().report().sentAtMillis()).isEqualTo(500);
    client().renew(renewal, TOKEN, 700);
    advanceTime(1_080);
    assertThat(sentDirect)
        .singleElement()
        .isEqualTo(new Action.Renew("w", 1, "w:1", 4, 9_000, 0, 600));
  }

  /** Guards against relaying in a small cell, where it only costs processor time. */
  @Example
  void ordersOfASmallCellAreSentDirectly() {
    workerCount = 32;
    assertThat(client().start(START, TOKEN)).isCompletedWithValue(STARTED);
    assertThat(relayed).isEmpty();
  }

  /** Guards against losing orders when no relay is available. */
  @Example
  void withoutARelayOrdersAreSentDirectly() {
    relay = Optional.empty();
    assertThat(client().start(START, TOKEN)).isCompletedWithValue(STARTED);
    assertThat(relayed).isEmpty();
  }

  /**
   * Guards against a new coordinator that connects to all workers itself before relays offer
   * themselves, and against waiting for relays that never do.
   */
  @Example
  void newCoordinatorDelaysRenewalsUntilRelaysOffer() {
    relay = Optional.empty();
    Action.Renew renewal = new Action.Renew("w", 1, "w:1", 4, 9_000, 0, 600);
    RelayingWorkerClient client = client();
    client.renew(renewal, TOKEN, 500);
    advanceTime(10);
    assertThat(sentDirect).isEmpty();
    relay = Optional.of("e1");
    advanceTime(10);
    assertThat(relayed).hasSize(1);
    answer(RenewalAnswer.of(RenewalOutcome.NO_ANSWER));
    relay = Optional.empty();
    client.renew(renewal, TOKEN, 500);
    for (int round = 0; round < 10; round++) {
      advanceTime(10);
    }
    assertThat(sentDirect).hasSize(1);
  }

  /**
   * Guards against renewals that are answered immediately and thus repeated at the rate of the
   * worker's answers: 340,035 renewals in a simulated day instead of 5,000.
   */
  @Example
  void renewalThatIsSentDirectlyKeepsItsWait() {
    workerCount = 32;
    Action.Renew renewal = new Action.Renew("w", 1, "w:1", 4, 9_000, 1_000, 1_600);
    client().renew(renewal, TOKEN, 500);
    assertThat(sentDirect).containsExactly(renewal);
  }
}
