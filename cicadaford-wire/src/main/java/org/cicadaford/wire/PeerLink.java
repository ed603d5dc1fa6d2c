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
 * Maintains a connection to one peer and exchanges heartbeats on it.
 *
 * <p>When no answer arrives for half of the idle timeout, a second connection is opened in parallel
 * and replaces the first once its handshake completes. A connection whose state a device in between
 * has dropped therefore interrupts traffic for at most the idle timeout.
 */
public final class PeerLink {

  private final InetSocketAddress address;
  private final PeerSettings settings;
  private final PeerMessage.Hello self;
  private final Supplier<PeerMessage.Heartbeat> heartbeatSupplier;
  private final Consumer<PeerMessage.Heartbeat> heartbeatListener;
  private final EventLoopGroup eventLoops;
  private ScheduledFuture<?> heartbeatTask;
  private PeerConnection current;
  private PeerConnection candidate;
  private long lastAnswerAtNanos;
  private boolean connectionRefused;

  /**
   * Creates a link that is not started.
   *
   * @param heartbeatSupplier supplies the heartbeats to send
   * @param heartbeatListener receives the heartbeats of the peer, on a network thread
   * @param eventLoops owned by the caller
   */
  public PeerLink(
      InetSocketAddress address,
      PeerSettings settings,
      PeerMessage.Hello self,
      Supplier<PeerMessage.Heartbeat> heartbeatSupplier,
      Consumer<PeerMessage.Heartbeat> heartbeatListener,
      EventLoopGroup eventLoops) {
    this.address = address;
    this.settings = settings;
    this.self = self;
    this.heartbeatSupplier = heartbeatSupplier;
    this.heartbeatListener = heartbeatListener;
    this.eventLoops = eventLoops;
  }

  /** Connects and starts to send heartbeats. */
  public synchronized void start() {
    lastAnswerAtNanos = System.nanoTime();
    openCandidate();
    heartbeatTask =
        eventLoops
            .next()
            .scheduleAtFixedRate(
                this::onHeartbeatDue,
                settings.heartbeatIntervalMillis(),
                settings.heartbeatIntervalMillis(),
                TimeUnit.MILLISECONDS);
  }

  /** Stops the heartbeats and closes the connections. */
  public synchronized void stop() {
    if (heartbeatTask != null) {
      heartbeatTask.cancel(false);
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
   * Sends a request as {@link #sendRequest(PeerMessage)} does; the answer completes exceptionally
   * with {@link java.util.concurrent.TimeoutException} if none arrives within {@code
   * timeoutMillis}.
   */
  public CompletableFuture<PeerMessage> sendRequest(PeerMessage message, long timeoutMillis) {
    return sendRequest(message).orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Sends a request; the answer completes exceptionally with {@link PeerException} if there is no
   * connection or if it is closed first.
   */
  public CompletableFuture<PeerMessage> sendRequest(PeerMessage message) {
    PeerConnection connection = currentConnection();
    if (connection == null) {
      return CompletableFuture.failedFuture(
          new PeerException("peer " + address + " is not connected; try again", null));
    }
    return connection.sendRequest(message);
  }

  private synchronized PeerConnection currentConnection() {
    return current;
  }

  /** Returns whether there is an open connection to the peer. */
  public synchronized boolean isConnected() {
    return current != null && current.isOpen();
  }

  /**
   * Returns whether the last connection attempt was refused: the peer's host is reachable, but no
   * process listens on the port.
   */
  public synchronized boolean isConnectionRefused() {
    return connectionRefused;
  }

  /** Returns the time since the peer last answered, in milliseconds. */
  public synchronized long millisSinceLastAnswer(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - lastAnswerAtNanos);
  }

  /** Sends a heartbeat in addition to the periodic ones, to detect a failed peer sooner. */
  public synchronized void sendHeartbeat() {
    if (current != null && current.isOpen()) {
      current.sendRequest(heartbeatSupplier.get()).thenAccept(this::onAnswer);
    }
  }

  private synchronized void onHeartbeatDue() {
    boolean disconnected = current == null || !current.isOpen();
    if (disconnected
        || millisSinceLastAnswer(System.nanoTime()) > settings.idleTimeoutMillis() / 2) {
      openCandidate();
    }
    if (!disconnected) {
      current.sendRequest(heartbeatSupplier.get()).thenAccept(this::onAnswer);
    }
  }

  private synchronized void openCandidate() {
    if (candidate != null) {
      return;
    }
    PeerConnection opened = PeerConnection.open(address, settings, self, eventLoops);
    candidate = opened;
    opened.handshake().whenComplete((hello, failure) -> onHandshakeDone(opened, failure));
  }

  private synchronized void onHandshakeDone(PeerConnection connection, Throwable failure) {
    candidate = null;
    connectionRefused = failure != null && failure.getCause() instanceof ConnectException;
    if (failure != null) {
      connection.close();
      return;
    }
    // The old connection stays open until its idle timeout, so that late answers still arrive.
    current = connection;
    lastAnswerAtNanos = System.nanoTime();
    connection.sendRequest(heartbeatSupplier.get()).thenAccept(this::onAnswer);
  }

  private void onAnswer(PeerMessage answer) {
    synchronized (this) {
      lastAnswerAtNanos = System.nanoTime();
    }
    if (answer instanceof PeerMessage.Heartbeat heartbeat) {
      heartbeatListener.accept(heartbeat);
    }
  }
}
