package org.cicadaford.daemon;

import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.entry.EntryServices;
import org.cicadaford.entry.EntrySettings;
import org.cicadaford.entry.PlatformServices;
import org.cicadaford.entry.Readiness;
import org.cicadaford.model.Resources;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.Member.Role;
import org.cicadaford.platform.Member.State;
import org.cicadaford.platform.PlatformClients;
import org.cicadaford.platform.PlatformSettings;
import org.cicadaford.wire.PeerException;

/** Runs the entry services behind an HTTP server. */
public final class EntryDaemon {

  private static final Logger LOG = LogManager.getLogger(EntryDaemon.class);
  private static final long READINESS_POLL_MILLIS = 20;

  /** Time in which the log must be reached with {@code --require-log-at-start}. */
  private static final long REQUIRED_LOG_MILLIS = 5_000;

  /** Time that the stop may take beyond the requests in progress. */
  private static final long STOP_MARGIN_MILLIS = 20_000;

  private final DaemonSettings settings;
  private final PlatformClients clients;
  private final EntryServices services;
  private final AtomicBoolean stopped = new AtomicBoolean();
  private final CountDownLatch ended = new CountDownLatch(1);
  private volatile int exitCode = DaemonCommand.EXIT_OK;
  private ApplicationContext context;
  private EmbeddedServer server;

  /** Creates a daemon that is not started. */
  public EntryDaemon(DaemonSettings settings) {
    this.settings = settings;
    this.clients =
        new PlatformClients(PlatformSettings.forLog(settings.logHost(), settings.logPort()));
    PlatformServices platform =
        new PlatformServices(
            clients.logService(),
            clients.membershipService(),
            clients.workerService(),
            clients.endpointService());
    this.services =
        new EntryServices(
            settings.entry(),
            platform,
            new InetSocketAddress(settings.bindAddress(), settings.peerPort()),
            InstantSource.system(),
            RandomGenerator.getDefault());
  }

  /** Runs the daemon until it is told to stop. */
  public static void main(String[] arguments) {
    int exitCode =
        DaemonCommand.execute(
            settings -> new EntryDaemon(settings).run(System.out),
            new PrintWriter(System.out, true),
            new PrintWriter(System.err, true),
            arguments);
    System.exit(exitCode);
  }

  private int run(PrintStream out) throws InterruptedException, PeerException {
    Thread hook = new Thread(this::stopAndHalt, "stop");
    Runtime.getRuntime().addShutdownHook(hook);
    start();
    if (!awaitReady()) {
      exitCode = DaemonCommand.EXIT_FAILED;
      return DaemonCommand.EXIT_FAILED;
    }
    out.println(readyLine());
    out.flush();
    ended.await();
    return DaemonCommand.EXIT_OK;
  }

  /**
   * Starts the HTTP server and then all services.
   *
   * @throws PeerException if the address for peers cannot be bound
   */
  public void start() throws PeerException {
    clients.start();
    context =
        ApplicationContext.builder()
            .deduceEnvironment(false)
            .banner(false)
            .properties(serverProperties())
            .singletons(services, settings)
            .start();
    server = context.getBean(EmbeddedServer.class).start();
    services.start(self());
    LOG.info(
        "instance {} of zone {} listens on {} port {}",
        settings.entry().instanceId(),
        settings.entry().zone(),
        settings.bindAddress(),
        server.getPort());
  }

  private Map<String, Object> serverProperties() {
    return Map.of(
        "micronaut.server.host",
        settings.bindAddress(),
        "micronaut.server.port",
        settings.port() == 0 ? -1 : settings.port(),
        "micronaut.server.max-request-size",
        settings.maxBodyBytes(),
        "micronaut.server.netty.parent.event-loop-group",
        "default",
        "micronaut.netty.event-loops.default.num-threads",
        2);
  }

  private Member self() {
    EntrySettings entry = settings.entry();
    return new Member(
        entry.instanceId(),
        Role.ENTRY,
        entry.zone(),
        entry.rack(),
        settings.bindAddress(),
        server.getPort(),
        settings.peerPort(),
        "",
        Resources.NONE,
        State.LIVE);
  }

  private boolean awaitReady() throws InterruptedException {
    long startedNanos = System.nanoTime();
    boolean told = false;
    Readiness readiness = services.readiness();
    while (!readiness.ready()) {
      long waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
      if (settings.requireLogAtStart() && waitedMillis > REQUIRED_LOG_MILLIS) {
        LOG.error(
            "log at {}:{} was not reached within {} ms: {}",
            settings.logHost(),
            settings.logPort(),
            REQUIRED_LOG_MILLIS,
            readiness.reason());
        return false;
      }
      if (!told && waitedMillis > 1_000) {
        told = true;
        LOG.warn("waits to become ready: {}", readiness.reason());
      }
      Thread.sleep(READINESS_POLL_MILLIS);
      readiness = services.readiness();
    }
    LOG.info("ready");
    return true;
  }

  private String readyLine() {
    EntrySettings entry = settings.entry();
    return "{\"event\":\"ready\",\"instanceId\":\"%s\",\"zone\":\"%s\",\"host\":\"%s\",\"port\":%d,\"peerPort\":%d}"
        .formatted(
            entry.instanceId(),
            entry.zone(),
            settings.bindAddress(),
            server.getPort(),
            services.peers().port());
  }

  private void stopAndHalt() {
    Thread.ofPlatform().daemon().name("stop-limit").start(this::haltIfStopHangs);
    try {
      stop();
    } catch (InterruptedException e) {
      exitCode = DaemonCommand.EXIT_FAILED;
    }
    LogManager.shutdown();
    // A process that a signal ends would exit with the signal's code; a graceful stop exits with 0.
    Runtime.getRuntime().halt(exitCode);
  }

  /** Ends the process if a fault keeps the graceful stop from ending. */
  private void haltIfStopHangs() {
    try {
      Thread.sleep(settings.entry().stopTimeoutMillis() + STOP_MARGIN_MILLIS);
    } catch (InterruptedException e) {
      return;
    }
    LOG.error("the stop did not end in time; report this as a defect");
    LogManager.shutdown();
    Runtime.getRuntime().halt(DaemonCommand.EXIT_FAILED);
  }

  /** Stops without cutting off a request. */
  public void stop() throws InterruptedException {
    if (!stopped.compareAndSet(false, true)) {
      return;
    }
    if (context != null) {
      services.stop();
      server.stop();
      context.close();
    }
    clients.stop();
    ended.countDown();
  }

  /** Returns the port that the HTTP server listens on. */
  public int port() {
    return server.getPort();
  }

  /** Returns the services behind the HTTP server. */
  public EntryServices services() {
    return services;
  }
}
