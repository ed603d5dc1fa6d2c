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
import org.cicadaford.entry.call.ServiceCallHandler;
import org.cicadaford.entry.call.SingleThreadCallEventLoop;
import org.cicadaford.entry.config.ConfigStore;
import org.cicadaford.entry.job.JobReporter;
import org.cicadaford.entry.job.JobService;
import org.cicadaford.entry.job.ZonePartLookup;
import org.cicadaford.entry.membership.MembershipPoller;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.entry.peer.PeerManager;
import org.cicadaford.entry.request.RequestLedgerService;
import org.cicadaford.entry.stream.LogWriter;
import org.cicadaford.entry.stream.StreamFollower;
import org.cicadaford.entry.stream.StreamListener;
import org.cicadaford.entry.worker.WorkerCommandSender;
import org.cicadaford.entry.zone.ZoneOwnerService;
import org.cicadaford.entry.zone.ZoneOwnerSettings;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.LogRecord;
import org.cicadaford.model.RequestRecord;
import org.cicadaford.model.ZoneRecord;
import org.cicadaford.platform.Member;
import org.cicadaford.wire.PeerException;
import org.cicadaford.wire.PeerMessage;

/** Creates, starts and stops all services of an entry instance. */
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
  private final ConfigStore config;
  private final RequestLedgerService requests;
  private final MembershipPoller membership;
  private final WorkerCommandSender workerCommands;
  private final ZoneOwnerService zoneOwner;
  private final PeerManager peers;
  private final JobService jobs;
  private final SingleThreadCallEventLoop callEventLoop = new SingleThreadCallEventLoop();
  private final CallService callService;
  private final ServiceCallHandler calls;
  private final StreamFollower<ConfigRecord> configFollower;
  private final StreamFollower<RequestRecord> requestsFollower;
  private final StreamFollower<ZoneRecord> zoneFollower;
  private volatile boolean wasReady;

  /**
   * Creates services that are not started.
   *
   * @param peerAddress address to bind for peers; port 0 selects a free port
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
        new LogWriter("requests", platform.log(), LogWriter.QUEUE_CAPACITY, clock, metrics);
    this.ownerWriter =
        new LogWriter("owner", platform.log(), LogWriter.QUEUE_CAPACITY, clock, metrics);
    this.config = new ConfigStore(ownerWriter, settings.logRetentionMillis(), random, metrics);
    this.requests = new RequestLedgerService(requestWriter, settings.readBackTimeoutMillis());
    this.callService = newCallService();
    this.calls = new ServiceCallHandler(config, callService, metrics);
    this.membership =
        new MembershipPoller(
            platform.membership(), callService::onMembershipChanged, clock, metrics);
    this.workerCommands =
        new WorkerCommandSender(
            platform.workers(),
            WorkerCommandSender.QUEUE_CAPACITY,
            WorkerCommandSender.MAX_UNANSWERED,
            clock,
            metrics);
    ZoneOwnerSettings ownerSettings =
        ZoneOwnerSettings.of(
            settings.zone(), settings.instanceId(), settings.zoneSnapshotIntervalMillis());
    this.zoneOwner = newZoneOwner(ownerSettings);
    JobReporter ownZoneReporter =
        new JobReporter(settings.zone(), requests, zoneOwner, ZonePartLookup.none());
    this.peers =
        new PeerManager(
            peerAddress,
            new PeerMessage.Hello(settings.instanceId(), settings.zone()),
            config,
            zoneOwner,
            ownZoneReporter,
            membership,
            clock,
            metrics);
    JobReporter jobReporter = new JobReporter(settings.zone(), requests, zoneOwner, peers);
    this.jobs = new JobService(config, requests, membership, jobReporter);
    this.configFollower =
        newFollower(ConfigStore.STREAM, ConfigRecord.class, config, settings.pollMillis());
    this.requestsFollower =
        newFollower(
            RequestLedgerService.STREAM, RequestRecord.class, requests, settings.pollMillis());
    this.zoneFollower =
        newFollower(
            ownerSettings.stream(),
            ZoneRecord.class,
            zoneOwner,
            Math.min(OwnershipSettings.DEFAULT.heartbeatMillis(), settings.pollMillis()));
  }

  private CallService newCallService() {
    return new CallService(
        CallSettings.forInstance(settings.instanceId(), settings.zone()),
        callEventLoop,
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
        workerCommands,
        clock,
        random,
        metrics);
  }

  private <R extends LogRecord> StreamFollower<R> newFollower(
      String stream, Class<R> type, StreamListener<R> listener, long pollMillis) {
    return new StreamFollower<>(
        stream, type, platform.log(), listener, pollMillis, clock, random, metrics);
  }

  /**
   * Starts all threads and announces this instance to the platform as {@code self} with its peer
   * port.
   *
   * @throws PeerException if the address for peers cannot be bound
   */
  public void start(Member self) throws PeerException {
    peers.start();
    requestWriter.start();
    ownerWriter.start();
    workerCommands.start();
    callService.start();
    membership.start(self.withPeerPort(peers.port()));
    zoneOwner.start();
    configFollower.start();
    requestsFollower.start();
    zoneFollower.start();
  }

  /**
   * Stops gracefully: refuses new requests, waits for those in progress, hands over the zone and
   * announces to the platform that this instance is leaving.
   */
  public void stop() throws InterruptedException {
    requestLimiter.close();
    LOG.info(
        "stopping; new requests are refused, {} are in progress", requestLimiter.inProgressCount());
    if (!requestLimiter.awaitIdle(settings.stopTimeoutMillis())) {
      metrics.countFault("stop-timeout");
      LOG.warn(
          "{} requests did not finish within the stop timeout", requestLimiter.inProgressCount());
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
    workerCommands.stop();
    membership.stop();
    callEventLoop.stop();
    LOG.info("stopped");
  }

  /** Returns whether callers can be served; an instance once ready stays so during a log outage. */
  public Readiness readiness() {
    if (requestLimiter.isClosed()) {
      return new Readiness(false, "this instance is stopping");
    }
    if (wasReady) {
      return new Readiness(true, "");
    }
    String reason = describeNotReady();
    wasReady = reason.isEmpty();
    return new Readiness(wasReady, reason);
  }

  private String describeNotReady() {
    if (config.view().confirmedAtMillis() == 0) {
      return "stream config has not been read to its end yet; check that the log is reachable";
    }
    if (requests.confirmedAtMillis() == 0) {
      return "stream requests has not been read to its end yet; check that the log is reachable";
    }
    if (!zoneOwner.summary().isRead()) {
      return "the zone's stream has not been read to its end yet; check that the log is reachable";
    }
    if (membership.current().readAtMillis() == 0) {
      return "the membership list has not been read yet; check that the platform is reachable";
    }
    return "";
  }

  /** Returns whether the last read of the configuration stream succeeded. */
  public boolean isLogAvailable() {
    return configFollower.isLogAvailable();
  }

  /** Returns the limiter of concurrent requests. */
  public RequestLimiter requestLimiter() {
    return requestLimiter;
  }

  /** Returns the job service. */
  public JobService jobs() {
    return jobs;
  }

  /** Returns the handler of service calls. */
  public ServiceCallHandler calls() {
    return calls;
  }

  /** Returns the configuration store. */
  public ConfigStore config() {
    return config;
  }

  /** Returns the ledger of the requests stream. */
  public RequestLedgerService requests() {
    return requests;
  }

  /** Returns the poller of the membership list. */
  public MembershipPoller membership() {
    return membership;
  }

  /** Returns the manager of peer links. */
  public PeerManager peers() {
    return peers;
  }

  /** Returns the service that owns or follows the zone. */
  public ZoneOwnerService zoneOwner() {
    return zoneOwner;
  }

  /** Returns the metrics after updating the age of the configuration. */
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
