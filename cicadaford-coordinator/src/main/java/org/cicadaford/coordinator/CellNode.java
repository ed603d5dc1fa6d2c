package org.cicadaford.coordinator;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.wire.PeerException;
import org.cicadaford.wire.PeerMessage;
import org.cicadaford.wire.PeerServer;

/**
 * Runs an instance's part in a cell: follows the configuration and the coordinator, and takes over
 * the coordinator role when it is vacant. Confined to one event loop.
 */
public final class CellNode {

  private static final Logger LOGGER = LogManager.getLogger(CellNode.class);

  /** Interval between checks of the coordinator, in milliseconds. */
  private static final long CHECK_INTERVAL_MILLIS = 50;

  /** Interval between checks while there may be no coordinator, in milliseconds. */
  private static final long SEARCH_CHECK_INTERVAL_MILLIS = 10;

  /**
   * Age of the configuration above which an instance is not ready, in milliseconds. It is below the
   * age at which keys are rejected, so that the load balancer redirects callers first. It exceeds
   * two long polls of 0.9 s: a confirmation that took 0.9 s is used until the next one arrives 0.9
   * s later.
   */
  private static final long MAX_READY_CONFIG_AGE_MILLIS = 2_000;

  /**
   * Delay before an instance without the resources of a coordinator claims the role, in
   * milliseconds.
   */
  private static final long UNDERSIZED_CLAIM_DELAY_MILLIS = 500;

  /**
   * Delay before an instance that is not a standby claims the role, in milliseconds. Standbys need
   * 100 ms.
   */
  private static final long NON_STANDBY_CLAIM_DELAY_MILLIS = 120;

  /** Time that a resigning coordinator waits for its pending append, in milliseconds. */
  private static final long RESIGN_TIMEOUT_MILLIS = 400;

  private final CellSettings settings;
  private final CellStore store;
  private final EventLoop loop;
  private final Supplier<ClockReading> clock;
  private final DecisionLog log;
  private final PeerServer server;
  private final ConfigHolder config = new ConfigHolder();
  private final CoordinatorRequestHandler requests = new CoordinatorRequestHandler(config);
  private final ConfigFollower configFollower;
  private final LeadershipFollower leadershipFollower;
  private final LeadershipAnnouncer announcer;
  private final CoordinatorCandidate candidate;
  private final CellClient client;
  private final CoordinatorLink link;
  private final StandbyFollower standby;
  private final OrderRelay relay;
  private final CoordinatorRole role;
  private final CoordinatorReachability reachability;
  private Leadership leadership = Leadership.NONE;
  private final RepeatedTask checks;
  private boolean stopping;

  /** Creates the node of an instance. */
  public CellNode(
      CellSettings settings,
      CellPlatform platform,
      EventLoop loop,
      Supplier<ClockReading> clock,
      CellMetrics metrics,
      DecisionLog log) {
    this.settings = settings;
    this.store = platform.store();
    this.relay = new OrderRelay(platform.workers());
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    CellDirectory directory = new ObservedDirectory(platform.directory(), metrics);
    PeerMessage.Hello self = new PeerMessage.Hello(settings.instanceId(), settings.zone());
    this.role =
        new CoordinatorRole(
            self,
            settings,
            platform.withDirectory(directory),
            config,
            loop,
            clock,
            metrics,
            log,
            () -> endRole("deposed"));
    PeerMessageHandler messageHandler =
        new PeerMessageHandler(role, requests, relay, platform.advice());
    this.server =
        new PeerServer(
            PeerAddress.parse(settings.peerAddress()),
            CellSettings.PEER_LINK_SETTINGS,
            self,
            messageHandler::handle,
            loop);
    this.standby =
        new StandbyFollower(store, directory, loop, settings.hasCoordinatorResources(), metrics);
    this.link =
        new CoordinatorLink(
            self,
            settings.peerAddress(),
            settings.hasCoordinatorResources(),
            role::heartbeat,
            standby::handleOfferAnswer,
            loop);
    this.configFollower =
        new ConfigFollower(directory, config, loop, clock, log, this::applyConfig);
    this.leadershipFollower = new LeadershipFollower(store, loop, this::handleAnnouncement);
    this.announcer = new LeadershipAnnouncer(store, loop, this::nowMillis, metrics, log);
    this.client =
        new CellClient(this::routeRequest, this::isTakeoverExpected, loop, this::nowMillis);
    this.candidate =
        new CoordinatorCandidate(
            store,
            clock,
            metrics,
            log,
            this::claimDelayMillis,
            this::loadAndBegin,
            this::handleObservation);
    this.reachability = new CoordinatorReachability(metrics, log);
    this.checks = new RepeatedTask("coordinator check", loop, this::check, this::checkDelayMillis);
  }

  /**
   * Starts the peer server and the followers.
   *
   * @throws PeerException if the peer port cannot be bound
   */
  public void start() throws PeerException {
    server.start();
    loop.execute(
        () -> {
          configFollower.start();
          leadershipFollower.start();
          standby.start();
          checks.start();
        });
  }

  /** Resigns the coordinator role if this instance holds it. Requests are still served. */
  public CompletableFuture<Void> resign() {
    stopping = true;
    CompletableFuture<Void> resigned = new CompletableFuture<>();
    resignWhenStored(resigned, nowMillis() + RESIGN_TIMEOUT_MILLIS);
    return resigned;
  }

  private void resignWhenStored(CompletableFuture<Void> resigned, long deadlineMillis) {
    if (!role.isHeld()) {
      resigned.complete(null);
      return;
    }
    if (role.service().isStoring() && nowMillis() < deadlineMillis) {
      loop.schedule(() -> resignWhenStored(resigned, deadlineMillis), 10, TimeUnit.MILLISECONDS);
      return;
    }
    long epoch = role.service().epoch();
    endRole("resigned");
    announcer
        .announce(new Leadership(epoch, settings.instanceId(), ""))
        .thenAccept(done -> resigned.complete(null));
  }

  /** Stops all activity. */
  public void stop() {
    stopping = true;
    checks.stop();
    configFollower.stop();
    leadershipFollower.stop();
    standby.stop();
    endRole("stopped");
    announcer.stop();
    link.close();
    server.stop();
  }

  /** Returns the configuration that this process has read. */
  public ConfigHolder config() {
    return config;
  }

  /** Returns whether the configuration was confirmed recently enough to verify keys. */
  public boolean areKeysVerifiable() {
    return config.isConfirmedWithin(settings.keyFreshnessMillis(), clock.get());
  }

  /** Returns whether this instance can serve requests. */
  public boolean isReady() {
    boolean confirmed = config.isConfirmedWithin(MAX_READY_CONFIG_AGE_MILLIS, clock.get());
    return !stopping && confirmed && (isHealthyCoordinator() || link.isResponsive());
  }

  /** Returns whether this instance or one that it hears is a coordinator that can store. */
  public boolean isCoordinatorHealthy() {
    return isHealthyCoordinator() || (!role.isHeld() && !candidate.isSearching(nowMillis()));
  }

  private boolean isHealthyCoordinator() {
    return role.isHeld() && role.service().isRoleConfirmed();
  }

  /** Returns the client that sends requests to the coordinator. */
  public CellClient client() {
    return client;
  }

  private long nowMillis() {
    return clock.get().monotonicMillis();
  }

  private boolean isTakeoverExpected() {
    return candidate.isTakeoverExpected(nowMillis());
  }

  private CompletableFuture<CellReply> routeRequest(PeerMessage message) {
    if (role.isHeld()) {
      return requests.handle(role.service(), settings.zone(), message);
    }
    return link.forward(message);
  }

  private void applyConfig() {
    if (role.isHeld()) {
      role.service().updateConfig(config.published());
    }
  }

  private void handleAnnouncement(Leadership announced) {
    announcer.observe(announced);
    candidate.observeEpoch(announced.epoch());
    relay.observeEpoch(announced.epoch());
    boolean alreadyKnown = announced.epoch() < leadership.epoch() || announced.equals(leadership);
    if (alreadyKnown) {
      return;
    }
    leadership = announced;
    log.write(
        "leadership",
        "epoch-" + announced.epoch(),
        announced.vacant() ? "vacant" : "announced",
        "instance=" + announced.instanceId() + " address=" + announced.address());
    candidate.electionPolicy().recordAnnouncement(announced, nowMillis());
    reachability.recordAnnouncement(announced, nowMillis());
    if (role.isHeld() && announced.epoch() > role.service().epoch()) {
      endRole("replaced by epoch " + announced.epoch());
    }
    boolean own = announced.instanceId().equals(settings.instanceId());
    link.close();
    if (!announced.vacant() && !own) {
      link.open(announced.address(), heartbeat -> handleHeartbeat(announced, heartbeat));
    }
    if (own && !role.isHeld() && !role.isLoading()) {
      // The announcement is by an earlier process of this instance.
      candidate.electionPolicy().recordVacancy();
    }
  }

  /** Connects to a coordinator that the journal names before its announcement has been read. */
  private void handleObservation(JournalTail tail) {
    reachability.recordJournal(tail, nowMillis());
    tail.coordinator().ifPresent(coordinator -> candidate.observeEpoch(coordinator.epoch()));
    tail.coordinator()
        .filter(coordinator -> coordinator.epoch() > leadership.epoch())
        .filter(coordinator -> !coordinator.instanceId().equals(settings.instanceId()))
        .ifPresent(this::handleAnnouncement);
  }

  private void handleHeartbeat(Leadership sender, PeerMessage.Heartbeat heartbeat) {
    if (!sender.equals(leadership)) {
      return;
    }
    // A new coordinator needs helpers at once.
    link.offerHelp(nowMillis());
    if (heartbeat.zoneEpoch() != sender.epoch()) {
      candidate.electionPolicy().recordVacancy();
    } else if (heartbeat.ownsZone()) {
      candidate.electionPolicy().recordHealthyCoordinator(nowMillis());
    } else {
      candidate.electionPolicy().recordUnhealthyCoordinator();
    }
  }

  private long checkDelayMillis() {
    boolean searching = !role.isHeld() && candidate.isSearching(nowMillis());
    return searching ? SEARCH_CHECK_INTERVAL_MILLIS : CHECK_INTERVAL_MILLIS;
  }

  private void check() {
    if (stopping) {
      return;
    }
    long now = nowMillis();
    reachability.check(role.isHeld() || link.isResponsive(), now);
    if (role.isHeld()) {
      role.service().updateGauges();
      return;
    }
    link.offerHelp(now);
    candidate.electionPolicy().setStandby(standby.isDesignated());
    if (standby.isDesignated()) {
      link.probe();
    }
    if (link.isRefused()) {
      candidate.electionPolicy().recordConnectionRefused();
    } else if (link.isDisconnected()) {
      candidate.electionPolicy().recordUnhealthyCoordinator();
    }
    candidate.check(now, config.isLoaded());
  }

  /**
   * Returns the delay that lets better prepared instances claim the role first, in milliseconds.
   */
  private long claimDelayMillis() {
    if (!settings.hasCoordinatorResources()) {
      return UNDERSIZED_CLAIM_DELAY_MILLIS;
    }
    if (standby.isDesignated()) {
      return -CoordinatorCandidate.MIN_CLAIM_DELAY_MILLIS;
    }
    return standby.areOthersDesignated() ? NON_STANDBY_CLAIM_DELAY_MILLIS : 0;
  }

  private void loadAndBegin(long epoch, ClockReading claimedAt) {
    if (stopping) {
      return;
    }
    role.startLoading(epoch);
    Leadership own = new Leadership(epoch, settings.instanceId(), settings.peerAddress());
    announcer.announce(own);
    store
        .loadRecords()
        .handle(
            (records, failure) -> {
              candidate.finishClaim();
              role.finishLoading();
              if (failure != null) {
                LOGGER.warn("failed to load the records of epoch {}: {}", epoch, failure);
              } else if (!stopping && candidate.highestEpoch() <= epoch) {
                standby.stopFollowing();
                role.begin(own, claimedAt, records);
              }
              if (!role.isHeld()) {
                announcer.stop();
              }
              return null;
            })
        .exceptionally(
            failure -> {
              LOGGER.error(
                  "failed to start as coordinator of epoch {}; claiming the role again",
                  epoch,
                  failure);
              endRole("failed to begin");
              candidate.electionPolicy().recordVacancy();
              return null;
            });
  }

  private void endRole(String reason) {
    if (role.isHeld()) {
      announcer.stop();
      role.end(reason);
      candidate.electionPolicy().recordUnhealthyCoordinator();
    }
  }
}
