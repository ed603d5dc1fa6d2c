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

/** Runs the entry services and their HTTP server as a process. */
public final class EntryDaemon {

  private static final Logger LOG = LogManager.getLogger(EntryDaemon.class);
  private static final long READINESS_POLL_MILLIS = 20;

  /** Startup timeout for reaching the log with {@code --require-log-at-start}. */
  private static final long REQUIRED_LOG_TIMEOUT_MILLIS = 5_000;

  /** Time allowed for the stop beyond the stop timeout, which covers requests in progress. */
  private static final long STOP_MARGIN_MILLIS = 20_000;

  private final DaemonSettings settings;
  private final PlatformClients clients;
  private final EntryServices services;
  private final AtomicBoolean stopStarted = new AtomicBoolean();
  private final CountDownLatch stopCompleted = new CountDownLatch(1);
  private volatile int exitCode = DaemonCommand.EXIT_OK;
  private ApplicationContext context;
  private EmbeddedServer server;

  /** Creates a daemon; call {@link #start()} to start it. */
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

  /** Runs the daemon until the process receives a termination signal. */
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
    Thread shutdownHook = new Thread(this::stopAndHalt, "stop");
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    start();
    if (!awaitReady()) {
      exitCode = DaemonCommand.EXIT_FAILED;
      return DaemonCommand.EXIT_FAILED;
    }
    out.println(readyLine());
    out.flush();
    stopCompleted.await();
    return DaemonCommand.EXIT_OK;
  }

  /**
   * Starts the HTTP server, then the entry services.
   *
   * @throws PeerException if the peer address cannot be bound
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
    services.start(localMember());
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

  private Member localMember() {
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
    boolean warned = false;
    Readiness readiness = services.readiness();
    while (!readiness.ready()) {
      long waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
      if (settings.requireLogAtStart() && waitedMillis > REQUIRED_LOG_TIMEOUT_MILLIS) {
        LOG.error(
            "the log at {}:{} could not be reached within {} ms: {}",
            settings.logHost(),
            settings.logPort(),
            REQUIRED_LOG_TIMEOUT_MILLIS,
            readiness.reason());
        return false;
      }
      if (!warned && waitedMillis > 1_000) {
        warned = true;
        LOG.warn("not ready yet: {}", readiness.reason());
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
    // After a signal the JVM would exit with the signal's code; halting exits with this code
    // instead.
    Runtime.getRuntime().halt(exitCode);
  }

  /** Terminates the process if the graceful stop does not finish in time. */
  private void haltIfStopHangs() {
    try {
      Thread.sleep(settings.entry().stopTimeoutMillis() + STOP_MARGIN_MILLIS);
    } catch (InterruptedException e) {
      return;
    }
    LOG.error(
        "the graceful stop did not finish in time and the process is halted; report this as a defect");
    LogManager.shutdown();
    Runtime.getRuntime().halt(DaemonCommand.EXIT_FAILED);
  }

  /** Stops gracefully: requests in progress may finish within the stop timeout. */
  public void stop() throws InterruptedException {
    if (!stopStarted.compareAndSet(false, true)) {
      return;
    }
    if (context != null) {
      services.stop();
      server.stop();
      context.close();
    }
    clients.stop();
    stopCompleted.countDown();
  }

  /** Returns the port that the HTTP server listens on. */
  public int port() {
    return server.getPort();
  }

  /** Returns the entry services. */
  public EntryServices services() {
    return services;
  }
}
