package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.Coordinator;
import org.cicadaford.cell.CoordinatorSettings;
import org.cicadaford.cell.FencingToken;
import org.cicadaford.cell.ListedWorker;
import org.cicadaford.cell.StartOutcome;
import org.cicadaford.coordinator.WorkerClient.RenewalAnswer;
import org.cicadaford.coordinator.WorkerClient.RenewalOutcome;
import org.cicadaford.coordinator.WorkerClient.StartAnswer;
import org.cicadaford.model.Resources;
import org.cicadaford.wire.PeerMessage;

/** Tests the fencing tokens of orders, and what follows when a worker refuses one. */
class OrderDispatcherTest {

  private static final long EPOCH = 7;
  private static final Action.Renew RENEWAL = new Action.Renew("w", 1, "w:1", 0, 0, 0, 600);
  private static final Action.StartTask START =
      new Action.StartTask("w", "w:1", "job.0.0.0", 1, "payload", "", "", 5_000);

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final Coordinator coordinator =
      new Coordinator(CoordinatorSettings.forPlatform(6_000, 60_000));
  private final List<FencingToken> tokens = new ArrayList<>();
  private final List<CompletableFuture<RenewalAnswer>> renewals = new ArrayList<>();
  private final List<CompletableFuture<StartAnswer>> starts = new ArrayList<>();
  private final OrderDispatcher dispatcher = dispatcher();
  private int replaced;

  private static ClockReading now() {
    return new ClockReading(1_000, 1_700_000_000_000L);
  }

  private OrderDispatcher dispatcher() {
    CellMetrics metrics = new CellMetrics();
    HelperPool helpers =
        new HelperPool(
            new PeerMessage.Hello("e1", "z"),
            (step, workers, timeout) -> new CompletableFuture<>(),
            CellSettings.HELPER_LINK_SETTINGS,
            channel.eventLoop(),
            channel.eventLoop(),
            () -> null,
            () -> 1_000);
    return new OrderDispatcher(
        EPOCH,
        coordinator,
        workerClient(),
        helpers,
        OrderDispatcherTest::now,
        metrics,
        new DecisionLog(metrics, () -> 1_000),
        () -> {},
        () -> replaced++,
        failure -> {
          throw new IllegalStateException(failure);
        });
  }

  private WorkerClient workerClient() {
    return new WorkerClient() {
      @Override
      public CompletableFuture<StartAnswer> start(Action.StartTask order, FencingToken token) {
        tokens.add(token);
        starts.add(new CompletableFuture<>());
        return starts.getLast();
      }

      @Override
      public CompletableFuture<Boolean> stop(Action.StopTask order, FencingToken token) {
        return new CompletableFuture<>();
      }

      @Override
      public CompletableFuture<RenewalAnswer> renew(
          Action.Renew order, FencingToken token, long nowMillis) {
        tokens.add(token);
        renewals.add(new CompletableFuture<>());
        return renewals.getLast();
      }
    };
  }

  private void list(long incarnation) {
    Resources capacity = new Resources(8_000, 8_000, 0);
    coordinator.workersListed(
        List.of(
            new ListedWorker(
                "w", incarnation, "svc", "w:1", "z", false, 0, capacity, Set.of(), "rack")),
        now(),
        now());
  }

  /**
   * Guards against a coordinator that steps down because a restarted worker has received its own
   * higher token before an order to the earlier incarnation.
   */
  @Example
  void refusalOfATokenForAnEarlierIncarnationDoesNotEndTheRole() {
    list(1);
    dispatcher.sendRenewal(RENEWAL);
    dispatcher.sendStart(START);
    list(2);
    dispatcher.sendRenewal(RENEWAL);
    assertThat(tokens)
        .containsExactly(
            new FencingToken(EPOCH, 0), new FencingToken(EPOCH, 0), new FencingToken(EPOCH, 1));
    renewals.getFirst().complete(RenewalAnswer.of(RenewalOutcome.FENCED));
    starts.getFirst().complete(new StartAnswer(StartOutcome.FENCED, 0, "409fence"));
    assertThat(replaced).isZero();
    renewals.getLast().complete(RenewalAnswer.of(RenewalOutcome.FENCED));
    assertThat(replaced).isEqualTo(1);
  }
}
