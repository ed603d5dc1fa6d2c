package org.cicadaford.coordinator;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.coordinator.http.HttpClient;
import org.cicadaford.coordinator.http.HttpListener;
import org.cicadaford.coordinator.http.RequestHandler;
import org.cicadaford.coordinator.http.StatusHandler;
import org.cicadaford.wire.PeerException;

/** The process of an instance: serves until it is ordered to stop, then stops gracefully. */
public final class CellProcess {

  private static final Logger LOGGER = LogManager.getLogger(CellProcess.class);

  /** Largest request body in bytes. */
  private static final int MAX_BODY_BYTES = 1 << 20;

  /** Time for which requests are served after the order to stop; the balancer needs about 2 s. */
  private static final long LINGER_MILLIS = 3_000;

  /** Time that is left unused before the process would be killed, in milliseconds. */
  private static final long STOP_RESERVE_MILLIS = 1_000;

  /** Time between two looks at the open requests while stopping, in milliseconds. */
  private static final long STOP_POLL_MILLIS = 20;

  private final InstanceSettings settings;
  private final Function<HttpClient, CellPlatform> platform;
  private final CellPlatform.ResponderFactory responders;
  private final String readinessPath;
  private final CountDownLatch stopOrdered = new CountDownLatch(1);

  /**
   * Creates the process.
   *
   * @param platform connects to the platform by the given client
   * @param readinessPath path at which the balancer asks whether the instance is ready
   */
  public CellProcess(
      InstanceSettings settings,
      Function<HttpClient, CellPlatform> platform,
      CellPlatform.ResponderFactory responders,
      String readinessPath) {
    this.settings = settings;
    this.platform = platform;
    this.responders = responders;
    this.readinessPath = readinessPath;
  }

  /** Orders the process to stop. */
  public void requestStop() {
    stopOrdered.countDown();
  }

  /**
   * Serves until the order to stop, and then until open requests are answered.
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
            platform.apply(http),
            loop,
            () -> new ClockReading(nowMillis.getAsLong(), System.currentTimeMillis()),
            metrics,
            log);
    RequestHandler requests =
        new RequestHandler(
            responders.createResponder(node.client(), new RequestAuthorizer(node)),
            metrics,
            log,
            nowMillis,
            () -> node.config().published().config().version());
    StatusHandler status = new StatusHandler(readinessPath, node::ready, metrics.registry());
    HttpListener front =
        new HttpListener(settings.requestAddress(), MAX_BODY_BYTES, requests, loop);
    front.start();
    new HttpListener(settings.readinessAddress(), MAX_BODY_BYTES, status, loop).start();
    String metricsAddress = settings.ip() + ":" + settings.metricsPort();
    new HttpListener(metricsAddress, MAX_BODY_BYTES, status, loop).start();
    node.start();
    LOGGER.info("start: instance {} in zone {}", settings.instanceId(), settings.zone());
    stopOrdered.await();
    LOGGER.info("stop: ordered");
    loop.execute(node::resign);
    requests.closeWithAnswers();
    awaitRequests(loop, front, requests);
    loop.submit(
            () -> {
              node.stop();
              http.stop();
            })
        .await(STOP_RESERVE_MILLIS, TimeUnit.MILLISECONDS);
    LOGGER.info("stop: done");
  }

  /** Serves until the balancer has moved callers elsewhere and open requests are answered. */
  private void awaitRequests(EventLoop loop, HttpListener front, RequestHandler requests)
      throws InterruptedException {
    long graceMillis = TimeUnit.SECONDS.toMillis(settings.stopSeconds()) - STOP_RESERVE_MILLIS;
    long lastNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(graceMillis);
    Thread.sleep(Math.min(LINGER_MILLIS, graceMillis));
    loop.submit(
            () -> {
              front.stop();
              requests.closeIdle();
            })
        .await(STOP_RESERVE_MILLIS, TimeUnit.MILLISECONDS);
    while (requests.openRequests() > 0 && System.nanoTime() - lastNanos < 0) {
      Thread.sleep(STOP_POLL_MILLIS);
    }
  }
}
