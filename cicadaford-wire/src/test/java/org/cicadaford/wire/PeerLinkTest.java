package org.cicadaford.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;

/** Guards against links that stay on a dead connection, and against mismatched answers. */
class PeerLinkTest {

  private static final EventLoopGroup EVENT_LOOPS =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private static final PeerSettings SETTINGS = new PeerSettings(4_096, 20, 400, 1_000, 8);
  private static final PeerSettings LONG_IDLE_TIMEOUT =
      new PeerSettings(4_096, 20, 60_000, 1_000, 8);
  private static final PeerMessage.Heartbeat HEARTBEAT =
      new PeerMessage.Heartbeat("client", "zone", 1, false, 2, 3);
  private static final int ANSWER_TIMEOUT_MILLIS = 30_000;

  @AfterContainer
  static void stopEventLoops() {
    EVENT_LOOPS.shutdownGracefully();
  }

  /** Guards against waiting for a stopped process as long as for a slow one. */
  @Example
  void connectionToStoppedProcessIsReportedAsRefused() throws Exception {
    PeerServer server = server(SETTINGS);
    server.start();
    AtomicInteger heartbeats = new AtomicInteger();
    PeerLink link = link(server.port(), SETTINGS, heartbeats);
    link.start();
    awaitTrue(() -> heartbeats.get() >= 1);
    assertThat(link.isConnectionRefused()).isFalse();
    server.stop();
    awaitTrue(link::isConnectionRefused);
    assertThat(link.isConnected()).isFalse();
    link.stop();
  }

  @Example
  void newConnectionReplacesOneThatStoppedAnswering() throws Exception {
    PeerServer server = server(SETTINGS);
    server.start();
    AtomicInteger heartbeats = new AtomicInteger();
    try (TcpProxy proxy = new TcpProxy(server.port())) {
      PeerLink link = link(proxy.port(), SETTINGS, heartbeats);
      link.start();
      awaitTrue(() -> heartbeats.get() >= 3);

      proxy.dropTrafficOfOpenConnections();
      int before = heartbeats.get();

      awaitTrue(() -> heartbeats.get() >= before + 3);
      assertThat(proxy.connectionCount()).isGreaterThanOrEqualTo(2);
      link.stop();
    } finally {
      server.stop();
    }
  }

  @Example
  void eachRequestGetsItsOwnAnswer() throws Exception {
    PeerServer server = server(LONG_IDLE_TIMEOUT);
    server.start();
    AtomicInteger heartbeats = new AtomicInteger();
    PeerLink link = link(server.port(), LONG_IDLE_TIMEOUT, heartbeats);
    link.start();
    awaitTrue(() -> heartbeats.get() >= 1);

    List<CompletableFuture<PeerMessage>> answers = new ArrayList<>();
    for (int job = 0; job < 200; job++) {
      answers.add(
          link.sendRequest(new PeerMessage.JobStatusRequest("job-" + job), ANSWER_TIMEOUT_MILLIS));
    }

    for (int job = 0; job < answers.size(); job++) {
      assertThat(answers.get(job).get()).isEqualTo(new PeerMessage.JobStatusRequest("job-" + job));
    }
    link.stop();
    server.stop();
  }

  private static PeerServer server(PeerSettings settings) {
    return new PeerServer(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        settings,
        new PeerMessage.Hello("server", "zone"),
        (peer, message) -> CompletableFuture.completedFuture(message),
        EVENT_LOOPS);
  }

  private static PeerLink link(int port, PeerSettings settings, AtomicInteger heartbeats) {
    return new PeerLink(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
        settings,
        new PeerMessage.Hello("client", "zone"),
        () -> HEARTBEAT,
        heartbeat -> heartbeats.incrementAndGet(),
        EVENT_LOOPS);
  }

  private static void awaitTrue(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      Thread.sleep(5);
    }
  }

  /** Forwards bytes until it is told to drop the traffic of the connections that are open. */
  private static final class TcpProxy implements AutoCloseable {

    private final ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    private final int targetPort;
    private final AtomicInteger generation = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();

    TcpProxy(int targetPort) throws IOException {
      this.targetPort = targetPort;
      Thread.ofPlatform().daemon().start(this::accept);
    }

    int port() {
      return listener.getLocalPort();
    }

    int connectionCount() {
      return connections.get();
    }

    void dropTrafficOfOpenConnections() {
      generation.incrementAndGet();
    }

    private void accept() {
      try {
        while (true) {
          Socket client = listener.accept();
          Socket target = new Socket(InetAddress.getLoopbackAddress(), targetPort);
          connections.incrementAndGet();
          int openedGeneration = generation.get();
          Thread.ofPlatform().daemon().start(() -> forward(client, target, openedGeneration));
          Thread.ofPlatform().daemon().start(() -> forward(target, client, openedGeneration));
        }
      } catch (IOException e) {
        // The listener was closed at the end of the test.
        return;
      }
    }

    private void forward(Socket from, Socket to, int openedGeneration) {
      byte[] buffer = new byte[4_096];
      try {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
          if (openedGeneration == generation.get()) {
            out.write(buffer, 0, count);
          }
        }
      } catch (IOException e) {
        // One side closed its connection.
        return;
      }
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }
}
