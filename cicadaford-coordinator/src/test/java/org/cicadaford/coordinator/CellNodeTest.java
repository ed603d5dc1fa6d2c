package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cicadaford.cell.CellConfig;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.DeploymentBounds;
import org.cicadaford.cell.ListedWorker;

/** Tests how instances find each other. */
class CellNodeTest {

  private static final long POLL_MILLIS = 20;
  private static final int MAX_POLLS = 1_500;

  private final SharedJournal journal = new SharedJournal();
  private final List<MultiThreadIoEventLoopGroup> groups = new ArrayList<>();
  private final List<CellNode> nodes = new ArrayList<>();

  private static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return free.getLocalPort();
    }
  }

  private static ClockReading clock() {
    return new ClockReading(
        TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), System.currentTimeMillis());
  }

  private static CellDirectory directory(EventLoop loop) {
    return new CellDirectory() {
      @Override
      public CompletableFuture<PublishedConfig> awaitConfigChange(long waitMillis) {
        CompletableFuture<PublishedConfig> answer = new CompletableFuture<>();
        CellConfig config = new CellConfig(1, List.of(), List.of());
        loop.schedule(
            () -> answer.complete(new PublishedConfig(config, Set.of())),
            POLL_MILLIS,
            TimeUnit.MILLISECONDS);
        return answer;
      }

      @Override
      public CompletableFuture<List<ListedWorker>> listWorkers() {
        return CompletableFuture.supplyAsync(List::of, loop);
      }
    };
  }

  private CellNode startNode(String instanceId) throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    groups.add(group);
    EventLoop loop = (EventLoop) group.next();
    CellMetrics metrics = new CellMetrics();
    CellNode node =
        new CellNode(
            new CellSettings(
                instanceId,
                "z",
                "127.0.0.1",
                freePort(),
                6_000,
                120_000,
                1,
                1_000,
                3_750,
                DeploymentBounds.DEFAULT),
            new CellPlatform(
                journal.connect(loop),
                null,
                (step, workers, timeoutMillis) -> new CompletableFuture<>(),
                directory(loop)),
            loop,
            CellNodeTest::clock,
            metrics,
            new DecisionLog(metrics, () -> clock().monotonicMillis()));
    nodes.add(node);
    node.start();
    return node;
  }

  private boolean isReady(int index) throws Exception {
    CellNode node = nodes.get(index);
    Callable<Boolean> call = node::isReady;
    return groups.get(index).submit(call).get(10, TimeUnit.SECONDS);
  }

  private boolean awaitReady(int index) throws Exception {
    for (int poll = 0; poll < MAX_POLLS; poll++) {
      if (isReady(index)) {
        return true;
      }
      Thread.sleep(POLL_MILLIS);
    }
    return false;
  }

  @AfterTry
  void stop() throws Exception {
    for (MultiThreadIoEventLoopGroup group : groups) {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(10, TimeUnit.SECONDS);
    }
  }

  /**
   * Guards against instances that refuse all requests for as long as the announcement of a working
   * coordinator cannot be stored or read.
   */
  @Example
  void instanceFindsTheCoordinatorThatTheJournalNames() throws Exception {
    startNode("e1");
    assertThat(awaitReady(0)).as("it is the coordinator").isTrue();
    startNode("e2");
    assertThat(awaitReady(1)).isTrue();
    startNode("e3");
    assertThat(awaitReady(2)).isTrue();
    assertThat(awaitReady(0)).isTrue();
  }
}
