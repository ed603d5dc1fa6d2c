package org.cicadaford.entry.peer;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.decision.LeaseHandover;
import org.cicadaford.decision.OwnerSettings;
import org.cicadaford.entry.config.ConfigStore;
import org.cicadaford.entry.config.ConfigView;
import org.cicadaford.entry.job.JobReport.ZonePart;
import org.cicadaford.entry.job.JobReporter;
import org.cicadaford.entry.job.ZonePartLookup;
import org.cicadaford.entry.membership.MembershipPoller;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.entry.zone.ZoneOwnerService;
import org.cicadaford.entry.zone.ZoneSummary;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.wire.PeerException;
import org.cicadaford.wire.PeerMessage;
import org.cicadaford.wire.PeerMessage.ConfigRecordsAnswer;
import org.cicadaford.wire.PeerMessage.HandOver;
import org.cicadaford.wire.PeerMessage.Heartbeat;
import org.cicadaford.wire.PeerSettings;

/** Connects the peer links with the configuration, the zone owner and the jobs of this instance. */
public final class PeerManager implements PeerMessageHandler, ZonePartLookup {

  private static final Logger LOG = LogManager.getLogger(PeerManager.class);
  private static final long UPDATE_INTERVAL_MILLIS = 500;
  private static final long HAND_OVER_WAIT_MILLIS = 1_500;

  private final PeerMessage.Hello self;
  private final ConfigStore config;
  private final ZoneOwnerService zoneOwner;
  private final JobReporter ownZoneReporter;
  private final MembershipPoller membership;
  private final InstantSource clock;
  private final EntryMetrics metrics;
  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final PeerService peers;
  private LeaseHandover sentHandOver;

  /**
   * Creates a manager that is not started.
   *
   * @param ownZoneReporter reports the jobs of this zone only
   */
  public PeerManager(
      InetSocketAddress bindAddress,
      PeerMessage.Hello self,
      ConfigStore config,
      ZoneOwnerService zoneOwner,
      JobReporter ownZoneReporter,
      MembershipPoller membership,
      InstantSource clock,
      EntryMetrics metrics) {
    this.self = self;
    this.config = config;
    this.zoneOwner = zoneOwner;
    this.ownZoneReporter = ownZoneReporter;
    this.membership = membership;
    this.clock = clock;
    this.metrics = metrics;
    this.peers =
        new PeerService(
            bindAddress,
            PeerSettings.DEFAULT,
            self,
            OwnerSettings.DEFAULT.clockDriftMillis(),
            this,
            eventLoops);
  }

  /**
   * Starts to accept and open links.
   *
   * @throws PeerException if the address cannot be bound
   */
  public void start() throws PeerException {
    peers.start();
    eventLoops
        .next()
        .scheduleAtFixedRate(
            this::updatePeers,
            UPDATE_INTERVAL_MILLIS,
            UPDATE_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  /** Sends the last leases to peers if this instance owned the zone, and closes all links. */
  public void stop() throws InterruptedException {
    CompletableFuture<Void> delivered = sendNewHandOver();
    try {
      delivered.get(HAND_OVER_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      // Without a hand-over the next owner waits for the outage grace period before it gives up an
      // unreachable worker.
      metrics.countFault("hand-over-not-told");
    }
    peers.stop();
    eventLoops.shutdownGracefully(0, HAND_OVER_WAIT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns the port that peers connect to. */
  public int port() {
    return peers.port();
  }

  private void updatePeers() {
    peers.updatePeers(membership.current().members());
    sendNewHandOver();
  }

  private synchronized CompletableFuture<Void> sendNewHandOver() {
    Optional<LeaseHandover> last = zoneOwner.lastHandOver();
    if (last.isEmpty() || last.get().equals(sentHandOver)) {
      return CompletableFuture.completedFuture(null);
    }
    sentHandOver = last.get();
    return peers.sendHandOver(
        new HandOver(self.zone(), sentHandOver.epoch(), sentHandOver.leaseUntilMillisByWorker()));
  }

  @Override
  public Heartbeat heartbeat() {
    ZoneSummary zone = zoneOwner.summary();
    ConfigView view = config.view();
    return new Heartbeat(
        self.instanceId(),
        self.zone(),
        zone.epoch(),
        zone.owner(),
        view.version(),
        view.confirmedAtMillis());
  }

  @Override
  public void onHeartbeat(Heartbeat heartbeat) {
    if (heartbeat.ownsZone() && heartbeat.zone().equals(self.zone())) {
      zoneOwner.onPeerHeartbeat(heartbeat.zoneEpoch());
    }
  }

  @Override
  public ConfigRecordsAnswer readConfigRecords(long fromOffset) {
    return config.recordsFrom(fromOffset);
  }

  @Override
  public void applyConfigRecords(ConfigRecordsAnswer records) {
    try {
      config.applyPeerRecords(records, clock.millis());
    } catch (MalformedRecordException e) {
      metrics.countFault("malformed-peer-record");
      LOG.debug("a peer sent malformed configuration records: {}", e.getMessage());
    }
  }

  @Override
  public void onConfigConfirmed(long version, long confirmedAtMillis) {
    config.confirmFromPeer(version, confirmedAtMillis);
  }

  @Override
  public void onHandOver(HandOver handOver) {
    if (handOver.zone().equals(self.zone())) {
      zoneOwner.onPeerHandOver(
          new LeaseHandover(handOver.epoch(), handOver.leaseUntilMillisByWorker()));
    }
  }

  @Override
  public CompletableFuture<byte[]> jobStatus(String jobId) {
    return ownZoneReporter
        .findLocalPart(jobId)
        .thenApply(part -> part.map(RecordCodec::encode).orElseGet(() -> new byte[0]));
  }

  @Override
  public CompletableFuture<Optional<ZonePart>> find(String zone, String jobId) {
    return peers
        .jobStatus(zone, jobId)
        .thenApply(PeerManager::decode)
        .exceptionally(failure -> Optional.empty());
  }

  private static Optional<ZonePart> decode(byte[] content) {
    try {
      return content.length == 0
          ? Optional.empty()
          : Optional.of(RecordCodec.decode(content, ZonePart.class));
    } catch (MalformedRecordException e) {
      return Optional.empty();
    }
  }
}
