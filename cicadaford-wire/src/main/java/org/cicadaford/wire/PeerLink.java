package org.cicadaford.wire;

import io.netty.channel.EventLoopGroup;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Keeps a connection to one peer and exchanges heartbeats on it.
 *
 * <p>When the connection is silent for half of the silence time, a new one is tried beside it; the
 * first of the two that answers is used from then on. So a connection that something between the
 * two ends has lost track of costs at most the silence time.
 */
public final class PeerLink {

  private final InetSocketAddress address;
  private final PeerSettings settings;
  private final PeerMessage.Hello self;
  private final Supplier<PeerMessage.Heartbeat> heartbeatSource;
  private final Consumer<PeerMessage.Heartbeat> heartbeatSink;
  private final EventLoopGroup eventLoops;
  private ScheduledFuture<?> heartbeats;
  private PeerConnection current;
  private PeerConnection candidate;
  private long lastAnswerAtNanos;
  private boolean refused;

  /**
   * Creates the link.
   *
   * @param heartbeatSource what to tell the peer
   * @param heartbeatSink takes what the peer tells; called on a network thread
   * @param eventLoops owned by the caller
   */
  public PeerLink(
      InetSocketAddress address,
      PeerSettings settings,
      PeerMessage.Hello self,
      Supplier<PeerMessage.Heartbeat> heartbeatSource,
      Consumer<PeerMessage.Heartbeat> heartbeatSink,
      EventLoopGroup eventLoops) {
    this.address = address;
    this.settings = settings;
    this.self = self;
    this.heartbeatSource = heartbeatSource;
    this.heartbeatSink = heartbeatSink;
    this.eventLoops = eventLoops;
  }

  /** Connects and starts to send heartbeats. */
  public synchronized void start() {
    lastAnswerAtNanos = System.nanoTime();
    connectBeside();
    heartbeats =
        eventLoops
            .next()
            .scheduleAtFixedRate(
                this::beat,
                settings.heartbeatMillis(),
                settings.heartbeatMillis(),
                TimeUnit.MILLISECONDS);
  }

  /** Stops the heartbeats and closes the connection. */
  public synchronized void stop() {
    if (heartbeats != null) {
      heartbeats.cancel(false);
    }
    close(current);
    close(candidate);
  }

  private static void close(PeerConnection connection) {
    if (connection != null) {
      connection.close();
    }
  }

  /**
   * Sends a message; the answer completes exceptionally with {@link PeerException} when none comes
   * within {@code timeoutMillis}.
   */
  public CompletableFuture<PeerMessage> sendRequest(PeerMessage message, long timeoutMillis) {
    return sendRequest(message).orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Sends a message; the answer completes exceptionally with {@link PeerException} when there is no
   * connection, or when it ends first.
   */
  public CompletableFuture<PeerMessage> sendRequest(PeerMessage message) {
    PeerConnection connection = connection();
    if (connection == null) {
      return CompletableFuture.failedFuture(
          new PeerException("peer " + address + " is not connected; try again", null));
    }
    return connection.ask(message);
  }

  private synchronized PeerConnection connection() {
    return current;
  }

  /** Returns whether there is a connection on which a message can be sent now. */
  public synchronized boolean isConnected() {
    return current != null && current.isOpen();
  }

  /**
   * Returns whether the newest connection was refused: the peer's host answers, and no process
   * listens there.
   */
  public synchronized boolean isConnectionRefused() {
    return refused;
  }

  /** Returns the time since the peer last answered, in milliseconds. */
  public synchronized long millisSinceLastAnswer(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - lastAnswerAtNanos);
  }

  /** Sends a heartbeat beside the regular ones, for a closer watch on the peer. */
  public synchronized void sendHeartbeat() {
    if (current != null && current.isOpen()) {
      current.ask(heartbeatSource.get()).thenAccept(this::answered);
    }
  }

  private synchronized void beat() {
    boolean lost = current == null || !current.isOpen();
    if (lost || millisSinceLastAnswer(System.nanoTime()) > settings.silenceMillis() / 2) {
      connectBeside();
    }
    if (!lost) {
      current.ask(heartbeatSource.get()).thenAccept(this::answered);
    }
  }

  private synchronized void connectBeside() {
    if (candidate != null) {
      return;
    }
    PeerConnection opened = PeerConnection.open(address, settings, self, eventLoops);
    candidate = opened;
    opened.greeted().whenComplete((hello, failure) -> greeted(opened, failure));
  }

  private synchronized void greeted(PeerConnection connection, Throwable failure) {
    candidate = null;
    refused = failure != null && failure.getCause() instanceof ConnectException;
    if (failure != null) {
      connection.close();
      return;
    }
    // The old connection is left to its own silence time, so that late answers still arrive on it.
    current = connection;
    lastAnswerAtNanos = System.nanoTime();
    connection.ask(heartbeatSource.get()).thenAccept(this::answered);
  }

  private void answered(PeerMessage answer) {
    synchronized (this) {
      lastAnswerAtNanos = System.nanoTime();
    }
    if (answer instanceof PeerMessage.Heartbeat heartbeat) {
      heartbeatSink.accept(heartbeat);
    }
  }
}
