package org.cicadaford.coordinator;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.coordinator.http.HttpClient;
import org.cicadaford.coordinator.http.HttpListener;
import org.cicadaford.coordinator.http.RequestHandler;
import org.cicadaford.coordinator.http.StatusHandler;
import org.cicadaford.wire.PeerException;

/** Runs the process of an instance: serves until asked to stop, then shuts down gracefully. */
public final class CellProcess {

  private static final Logger LOGGER = LogManager.getLogger(CellProcess.class);

  /** Maximum size of a request body, in bytes. */
  private static final int MAX_BODY_BYTES = 1 << 20;

  /**
   * Time for which requests are still accepted after a stop request, in milliseconds; the load
   * balancer needs about 2 s to redirect callers.
   */
  private static final long DRAIN_DELAY_MILLIS = 3_000;

  /** Margin kept before the process would be killed, in milliseconds. */
  private static final long STOP_MARGIN_MILLIS = 1_000;

  /** Interval between checks for open requests while stopping, in milliseconds. */
  private static final long DRAIN_POLL_INTERVAL_MILLIS = 20;

  private final InstanceSettings settings;
  private final CellPlatform.Factory platform;
  private final CellPlatform.ResponderFactory responders;
  private final String readinessPath;
  private final CountDownLatch stopRequested = new CountDownLatch(1);

  /**
   * Creates the process.
   *
   * @param platform creates the platform clients
   * @param readinessPath path of the load balancer's readiness check
   */
  public CellProcess(
      InstanceSettings settings,
      CellPlatform.Factory platform,
      CellPlatform.ResponderFactory responders,
      String readinessPath) {
    this.settings = settings;
    this.platform = platform;
    this.responders = responders;
    this.readinessPath = readinessPath;
  }

  /** Requests a graceful stop. */
  public void requestStop() {
    stopRequested.countDown();
  }

  /**
   * Serves until a stop is requested and the open requests are answered.
   *
   * @throws IOException if an address cannot be bound
   * @throws PeerException if the peer port cannot be bound
   */
  public void run() throws IOException, PeerException, InterruptedException {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("cell"), NioIoHandler.newFactory());
    EventLoop loop = (EventLoop) group.next();
    LongSupplier nowMillis = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    CellMetrics metrics = new CellMetrics();
    DecisionLog log = new DecisionLog(metrics, nowMillis);
    HttpClient http = new HttpClient(loop);
    CellNode node =
        new CellNode(
            settings.cellSettings(),
            platform.create(http, new RejectedEntryLog(metrics, nowMillis)),
            loop,
            () -> new ClockReading(nowMillis.getAsLong(), System.currentTimeMillis()),
            metrics,
            log);
    RequestHandler requests =
        new RequestHandler(
            responders.createResponder(
                node.client(),
                new RequestAuthorizer(
                    node.config(), node::areKeysVerifiable, node::isCoordinatorHealthy)),
            metrics,
            log,
            nowMillis,
            () -> node.config().published().config().version());
    StatusHandler status = new StatusHandler(readinessPath, node::isReady, metrics.registry());
    HttpListener requestListener =
        new HttpListener(settings.requestAddress(), MAX_BODY_BYTES, requests, loop);
    requestListener.start();
    new HttpListener(settings.readinessAddress(), MAX_BODY_BYTES, status, loop).start();
    String metricsAddress = settings.ip() + ":" + settings.metricsPort();
    new HttpListener(metricsAddress, MAX_BODY_BYTES, status, loop).start();
    node.start();
    LOGGER.info("start: instance {} in zone {}", settings.instanceId(), settings.zone());
    stopRequested.await();
    LOGGER.info("stop: ordered");
    loop.execute(node::resign);
    requests.closeAfterNextResponse();
    drainRequests(loop, requestListener, requests);
    loop.submit(
            () -> {
              node.stop();
              http.stop();
            })
        .await(STOP_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
    LOGGER.info("stop: done");
  }

  /** Waits until the load balancer has redirected callers and the open requests are answered. */
  private void drainRequests(EventLoop loop, HttpListener requestListener, RequestHandler requests)
      throws InterruptedException {
    long graceMillis = TimeUnit.SECONDS.toMillis(settings.stopSeconds()) - STOP_MARGIN_MILLIS;
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(graceMillis);
    Thread.sleep(Math.min(DRAIN_DELAY_MILLIS, graceMillis));
    loop.submit(
            () -> {
              requestListener.stop();
              requests.closeIdleConnections();
            })
        .await(STOP_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
    while (requests.openRequests() > 0 && System.nanoTime() - deadlineNanos < 0) {
      Thread.sleep(DRAIN_POLL_INTERVAL_MILLIS);
    }
  }
}
