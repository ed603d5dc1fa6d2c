package org.cicadaford.entry;

import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.random.RandomGenerator;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.decision.OwnershipSettings;
import org.cicadaford.entry.call.CallService;
import org.cicadaford.entry.call.CallSettings;
import org.cicadaford.entry.call.CallThread;
import org.cicadaford.entry.call.ServiceCallHandler;
import org.cicadaford.entry.config.ConfigHolder;
import org.cicadaford.entry.job.JobReporter;
import org.cicadaford.entry.job.JobService;
import org.cicadaford.entry.job.ZoneParts;
import org.cicadaford.entry.membership.MembershipPoller;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.entry.peer.PeerCoordinator;
import org.cicadaford.entry.request.RequestLog;
import org.cicadaford.entry.stream.LogWriter;
import org.cicadaford.entry.stream.StreamFollower;
import org.cicadaford.entry.stream.StreamListener;
import org.cicadaford.entry.worker.WorkerLink;
import org.cicadaford.entry.zone.ZoneOwnerService;
import org.cicadaford.entry.zone.ZoneOwnerSettings;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.LogRecord;
import org.cicadaford.model.RequestRecord;
import org.cicadaford.model.ZoneRecord;
import org.cicadaford.platform.Member;
import org.cicadaford.wire.PeerException;
import org.cicadaford.wire.PeerMessage;

/** All services of an entry instance, joined together. */
public final class EntryServices {

  private static final Logger LOG = LogManager.getLogger(EntryServices.class);

  private final EntrySettings settings;
  private final PlatformServices platform;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final EntryMetrics metrics = new EntryMetrics();
  private final RequestLimiter requestLimiter;
  private final LogWriter requestWriter;
  private final LogWriter ownerWriter;
  private final ConfigHolder config;
  private final RequestLog requests;
  private final MembershipPoller membership;
  private final WorkerLink workerLink;
  private final ZoneOwnerService zoneOwner;
  private final PeerCoordinator peers;
  private final JobService jobs;
  private final CallThread callThread = new CallThread();
  private final CallService callService;
  private final ServiceCallHandler calls;
  private final StreamFollower<ConfigRecord> configFollower;
  private final StreamFollower<RequestRecord> requestsFollower;
  private final StreamFollower<ZoneRecord> zoneFollower;
  private volatile boolean wasReady;

  /**
   * Creates services that are not started.
   *
   * @param peerAddress address that peers connect to; port 0 lets the system choose
   */
  public EntryServices(
      EntrySettings settings,
      PlatformServices platform,
      InetSocketAddress peerAddress,
      InstantSource clock,
      RandomGenerator random) {
    this.settings = settings;
    this.platform = platform;
    this.clock = clock;
    this.random = random;
    this.requestLimiter = new RequestLimiter(settings.maxRequestsInProgress());
    this.requestWriter =
        new LogWriter("requests", platform.log(), LogWriter.RING_SIZE, clock, metrics);
    this.ownerWriter = new LogWriter("owner", platform.log(), LogWriter.RING_SIZE, clock, metrics);
    this.config = new ConfigHolder(ownerWriter, settings.logRetentionMillis(), random, metrics);
    this.requests = new RequestLog(requestWriter, settings.readBackTimeoutMillis());
    this.callService = newCallService();
    this.calls = new ServiceCallHandler(config, callService, metrics);
    this.membership =
        new MembershipPoller(platform.membership(), callService::onMembers, clock, metrics);
    this.workerLink =
        new WorkerLink(
            platform.workers(), WorkerLink.RING_SIZE, WorkerLink.MAX_IN_FLIGHT, clock, metrics);
    ZoneOwnerSettings ownerSettings =
        ZoneOwnerSettings.of(
            settings.zone(), settings.instanceId(), settings.zoneSnapshotIntervalMillis());
    this.zoneOwner = newZoneOwner(ownerSettings);
    JobReporter ownJobs = new JobReporter(settings.zone(), requests, zoneOwner, ZoneParts.none());
    this.peers =
        new PeerCoordinator(
            peerAddress,
            new PeerMessage.Hello(settings.instanceId(), settings.zone()),
            config,
            zoneOwner,
            ownJobs,
            membership,
            clock,
            metrics);
    JobReporter reporter = new JobReporter(settings.zone(), requests, zoneOwner, peers);
    this.jobs = new JobService(config, requests, membership, reporter);
    this.configFollower =
        follower(ConfigHolder.STREAM, ConfigRecord.class, config, settings.pollMillis());
    this.requestsFollower =
        follower(RequestLog.STREAM, RequestRecord.class, requests, settings.pollMillis());
    this.zoneFollower =
        follower(
            ownerSettings.stream(),
            ZoneRecord.class,
            zoneOwner,
            Math.min(OwnershipSettings.DEFAULT.heartbeatMillis(), settings.pollMillis()));
  }

  private CallService newCallService() {
    return new CallService(
        CallSettings.forInstance(settings.instanceId(), settings.zone()),
        callThread,
        requests,
        platform.endpoints(),
        RandomSource.XO_RO_SHI_RO_128_PP.create());
  }

  private ZoneOwnerService newZoneOwner(ZoneOwnerSettings ownerSettings) {
    return new ZoneOwnerService(
        ownerSettings,
        ownerWriter,
        config,
        requests,
        membership,
        workerLink,
        clock,
        random,
        metrics);
  }

  private <R extends LogRecord> StreamFollower<R> follower(
      String stream, Class<R> type, StreamListener<R> listener, long pollMillis) {
    return new StreamFollower<>(
        stream, type, platform.log(), listener, pollMillis, clock, random, metrics);
  }

  /**
   * Starts all threads; the platform is told of this instance as {@code self} with its peer port.
   *
   * @throws PeerException if the address for peers cannot be bound
   */
  public void start(Member self) throws PeerException {
    peers.start();
    requestWriter.start();
    ownerWriter.start();
    workerLink.start();
    callService.start();
    membership.start(self.withPeerPort(peers.port()));
    zoneOwner.start();
    configFollower.start();
    requestsFollower.start();
    zoneFollower.start();
  }

  /**
   * Stops without cutting off a request: refuses new ones, waits for those in progress, hands the
   * zone over and tells the platform.
   */
  public void stop() throws InterruptedException {
    requestLimiter.close();
    LOG.info(
        "stopping; new requests are refused, {} are in progress", requestLimiter.inProgressCount());
    if (!requestLimiter.awaitIdle(settings.stopTimeoutMillis())) {
      metrics.countFault("stop-timeout");
      LOG.warn("{} requests did not finish in time", requestLimiter.inProgressCount());
    }
    callService.stop();
    zoneOwner.stop();
    peers.stop();
    membership.announceLeaving();
    zoneFollower.stop();
    requestsFollower.stop();
    configFollower.stop();
    requestWriter.stop();
    ownerWriter.stop();
    workerLink.stop();
    membership.stop();
    callThread.stop();
    LOG.info("stopped");
  }

  /** Returns whether callers can be served; stays so during an outage of the log. */
  public Readiness readiness() {
    if (requestLimiter.isClosed()) {
      return new Readiness(false, "this instance is stopping");
    }
    if (wasReady) {
      return new Readiness(true, "");
    }
    String reason = missing();
    wasReady = reason.isEmpty();
    return new Readiness(wasReady, reason);
  }

  private String missing() {
    if (config.view().confirmedAtMillis() == 0) {
      return "stream config was not read to its end yet; check that the log can be reached";
    }
    if (requests.confirmedAtMillis() == 0) {
      return "stream requests was not read to its end yet; check that the log can be reached";
    }
    if (!zoneOwner.summary().isRead()) {
      return "the zone's stream was not read to its end yet; check that the log can be reached";
    }
    if (membership.current().readAtMillis() == 0) {
      return "the membership list was not read yet; check that the platform can be reached";
    }
    return "";
  }

  /** Returns whether the log answered the last read of the configuration. */
  public boolean isLogAnswering() {
    return configFollower.isLogAnswering();
  }

  /** Returns the gate that requests pass. */
  public RequestLimiter requestLimiter() {
    return requestLimiter;
  }

  /** Returns the service for jobs. */
  public JobService jobs() {
    return jobs;
  }

  /** Returns the service for calls. */
  public ServiceCallHandler calls() {
    return calls;
  }

  /** Returns the holder of the configuration. */
  public ConfigHolder config() {
    return config;
  }

  /** Returns what was read of the stream of requests. */
  public RequestLog requests() {
    return requests;
  }

  /** Returns the list of instances. */
  public MembershipPoller membership() {
    return membership;
  }

  /** Returns the links to peers. */
  public PeerCoordinator peers() {
    return peers;
  }

  /** Returns the zone owner. */
  public ZoneOwnerService zoneOwner() {
    return zoneOwner;
  }

  /** Returns the metrics, with the age of the configuration brought up to date. */
  public EntryMetrics metrics() {
    long confirmedAtMillis = config.view().confirmedAtMillis();
    if (confirmedAtMillis > 0) {
      metrics.setConfigAge(clock.millis() - confirmedAtMillis);
    }
    return metrics;
  }

  /** Returns the settings. */
  public EntrySettings settings() {
    return settings;
  }
}
