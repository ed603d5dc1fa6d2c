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
 * Takes part in a cell: follows the configuration and the coordinator, and becomes the coordinator
 * when there is none. Used on one event loop.
 */
public final class CellNode {

  private static final Logger LOGGER = LogManager.getLogger(CellNode.class);

  /** Time between two checks of the coordinator, in milliseconds. */
  private static final long CHECK_MILLIS = 50;

  /** Time between two checks while there may be no coordinator, in milliseconds. */
  private static final long SEARCH_CHECK_MILLIS = 10;

  /**
   * Age of the configuration from which an instance is not ready, in milliseconds. It is under the
   * age at which keys are refused, so that the balancer moves callers elsewhere before that; a
   * confirmation that waited 0.9 s is used until the next one comes 0.9 s later.
   */
  private static final long READY_CONFIG_AGE_MILLIS = 2_000;

  /** Time that an instance that is not fit leaves to the others to claim, in milliseconds. */
  private static final long UNFIT_DELAY_MILLIS = 500;

  /** Time that a fit instance leaves to the standbys, in milliseconds; they need 100. */
  private static final long NO_STANDBY_DELAY_MILLIS = 120;

  /** Longest time that a stopping coordinator waits for its open append, in milliseconds. */
  private static final long HAND_OVER_MILLIS = 400;

  private final CellSettings settings;
  private final CellStore store;
  private final EventLoop loop;
  private final Supplier<ClockReading> clock;
  private final DecisionLog log;
  private final PeerServer server;
  private final ConfigHolder config = new ConfigHolder();
  private final CoordinatorRequests requests = new CoordinatorRequests(config);
  private final ConfigFollower configFollower;
  private final LeadershipFollower leadershipFollower;
  private final CoordinatorCandidate candidate;
  private final CellClient client;
  private final CoordinatorLink link;
  private final StandbyFollower standby;
  private final OrderRelay relay;
  private final CoordinatorRole role;
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
    this.relay = new OrderRelay(platform.orders());
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    PeerMessage.Hello self = new PeerMessage.Hello(settings.instanceId(), settings.zone());
    this.role =
        new CoordinatorRole(
            self,
            settings,
            platform,
            config,
            loop,
            clock,
            metrics,
            log,
            () -> endCoordinator("deposed"));
    PeerAnswerer answerer = new PeerAnswerer(role, requests, relay, platform.advice());
    this.server =
        new PeerServer(
            PeerAddress.parse(settings.peerAddress()),
            CellSettings.PEERS,
            self,
            answerer::answer,
            loop);
    this.standby = new StandbyFollower(store, platform.directory(), loop, settings.fit());
    this.link =
        new CoordinatorLink(
            self,
            settings.peerAddress(),
            settings.fit(),
            role::heartbeat,
            standby::designated,
            loop);
    this.configFollower =
        new ConfigFollower(platform.directory(), config, loop, clock, log, this::configChanged);
    this.leadershipFollower = new LeadershipFollower(store, loop, this::announced);
    this.client = new CellClient(this::route, this::takeoverExpected, loop, this::nowMillis);
    this.candidate =
        new CoordinatorCandidate(
            store, this::nowMillis, metrics, log, this::claimDelayMillis, this::load);
    this.checks =
        new RepeatedTask("check of the coordinator", loop, this::check, this::checkDelayMillis);
  }

  /**
   * Starts to take part.
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

  /** Gives up the role of coordinator, if this instance has it; requests are still served. */
  public CompletableFuture<Void> resign() {
    stopping = true;
    CompletableFuture<Void> resigned = new CompletableFuture<>();
    resignWhenStored(resigned, nowMillis() + HAND_OVER_MILLIS);
    return resigned;
  }

  private void resignWhenStored(CompletableFuture<Void> resigned, long latestMillis) {
    if (!role.held()) {
      resigned.complete(null);
      return;
    }
    if (role.service().storing() && nowMillis() < latestMillis) {
      loop.schedule(() -> resignWhenStored(resigned, latestMillis), 10, TimeUnit.MILLISECONDS);
      return;
    }
    long epoch = role.service().epoch();
    endCoordinator("resigned");
    store
        .announceLeadership(new Leadership(epoch, settings.instanceId(), ""))
        .whenComplete((done, failure) -> resigned.complete(null));
  }

  /** Ends all work. */
  public void stop() {
    stopping = true;
    checks.stop();
    configFollower.stop();
    leadershipFollower.stop();
    standby.stop();
    endCoordinator("stopped");
    link.close();
    server.stop();
  }

  /** Returns the configuration as this process knows it. */
  public ConfigHolder config() {
    return config;
  }

  /** Returns whether keys may be accepted: the configuration was confirmed recently. */
  public boolean keysFresh() {
    return config.confirmedWithin(settings.keyFreshnessMillis(), clock.get());
  }

  /** Returns whether requests can be served here. */
  public boolean ready() {
    boolean confirmed = config.confirmedWithin(READY_CONFIG_AGE_MILLIS, clock.get());
    return !stopping && confirmed && (coordinatorSound() || link.connected());
  }

  private boolean coordinatorSound() {
    return role.held() && role.service().sound();
  }

  /** Returns the client through which requests reach the coordinator. */
  public CellClient client() {
    return client;
  }

  private long nowMillis() {
    return clock.get().monotonicMillis();
  }

  private boolean takeoverExpected() {
    return candidate.takeoverExpected(nowMillis());
  }

  private CompletableFuture<CellReply> route(PeerMessage message) {
    if (role.held()) {
      return requests.serve(role.service(), settings.zone(), message);
    }
    return link.forward(message);
  }

  private void configChanged() {
    if (role.held()) {
      role.service().published(config.published());
    }
  }

  private void announced(Leadership announced) {
    candidate.epochSeen(announced.epoch());
    relay.epochSeen(announced.epoch());
    boolean known = announced.epoch() < leadership.epoch() || announced.equals(leadership);
    if (known) {
      return;
    }
    leadership = announced;
    log.decision(
        "leadership",
        "epoch-" + announced.epoch(),
        announced.vacant() ? "vacant" : "announced",
        "instance=" + announced.instanceId() + " address=" + announced.address());
    candidate.election().announced(announced, nowMillis());
    if (role.held() && announced.epoch() > role.service().epoch()) {
      endCoordinator("replaced by epoch " + announced.epoch());
    }
    boolean own = announced.instanceId().equals(settings.instanceId());
    link.close();
    if (!announced.vacant() && !own) {
      link.open(announced.address(), heartbeat -> heard(announced, heartbeat));
    }
    if (own && !role.held() && !role.isLoading()) {
      // An earlier process of this instance was the coordinator.
      candidate.election().coordinatorGone();
    }
  }

  private void heard(Leadership coordinatorAt, PeerMessage.Heartbeat heartbeat) {
    if (!coordinatorAt.equals(leadership)) {
      return;
    }
    // A new coordinator needs its helpers at once.
    link.offerHelp(nowMillis());
    if (heartbeat.zoneEpoch() != coordinatorAt.epoch()) {
      candidate.election().coordinatorGone();
    } else if (heartbeat.ownsZone()) {
      candidate.election().coordinatorSound(nowMillis());
    } else {
      candidate.election().coordinatorUnsound();
    }
  }

  private long checkDelayMillis() {
    boolean searching = !role.held() && candidate.searching(nowMillis());
    return searching ? SEARCH_CHECK_MILLIS : CHECK_MILLIS;
  }

  private void check() {
    if (stopping) {
      return;
    }
    long now = nowMillis();
    if (role.held()) {
      role.service().updateGauges();
      return;
    }
    link.offerHelp(now);
    candidate.election().standby(standby.isDesignated());
    if (standby.isDesignated()) {
      link.probe();
    }
    if (link.refused()) {
      candidate.election().coordinatorRefused();
    } else if (link.lost()) {
      candidate.election().coordinatorUnsound();
    }
    candidate.check(now, config.known());
  }

  /** Returns the time that this instance leaves to others that are better prepared to claim. */
  private long claimDelayMillis() {
    if (!settings.fit()) {
      return UNFIT_DELAY_MILLIS;
    }
    if (standby.isDesignated()) {
      return -CoordinatorCandidate.LEAST_CLAIM_DELAY_MILLIS;
    }
    return standby.othersDesignated() ? NO_STANDBY_DELAY_MILLIS : 0;
  }

  private void load(long epoch) {
    if (stopping) {
      return;
    }
    role.loading(epoch);
    Leadership own = new Leadership(epoch, settings.instanceId(), settings.peerAddress());
    store.announceLeadership(own);
    store
        .loadRecords()
        .handle(
            (records, failure) -> {
              candidate.claimDone();
              role.loaded();
              if (failure != null) {
                LOGGER.warn("the records of epoch {} cannot be loaded: {}", epoch, failure);
              } else if (!stopping && candidate.highestEpoch() <= epoch) {
                standby.release();
                role.begin(epoch, records);
              }
              return null;
            })
        .exceptionally(
            failure -> {
              LOGGER.error("epoch {} cannot begin; the role is claimed again", epoch, failure);
              endCoordinator("failed to begin");
              candidate.election().coordinatorGone();
              return null;
            });
  }

  private void endCoordinator(String reason) {
    if (role.held()) {
      role.end(reason);
      candidate.election().coordinatorUnsound();
    }
  }
}
