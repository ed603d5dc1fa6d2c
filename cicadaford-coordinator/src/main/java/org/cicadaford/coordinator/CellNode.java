package org.cicadaford.coordinator;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.cell.CoordinatorSettings;
import org.cicadaford.cell.ElapsedTime;
import org.cicadaford.cell.Moment;
import org.cicadaford.cell.RecordWrite;
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

  /** Age of the last stored batch from which others watch the journal, in milliseconds. */
  private static final long UNSOUND_MILLIS = 400;

  /**
   * Age of the configuration from which an instance is not ready, in milliseconds. It is under the
   * age at which keys are refused, so that the balancer moves callers elsewhere before that; a
   * confirmation that waited 0.9 s is used until the next one comes 0.9 s later.
   */
  private static final long READY_CONFIG_AGE_MILLIS = 2_000;

  /** Time in which the records must be loaded after a claim, in milliseconds. */
  private static final long LOADING_MILLIS = 4_000;

  /** Time that an instance that is not fit leaves to the others to claim, in milliseconds. */
  private static final long UNFIT_DELAY_MILLIS = 500;

  /** Time that a fit instance leaves to the standbys, in milliseconds; they need 100. */
  private static final long NO_STANDBY_DELAY_MILLIS = 120;

  /** Longest time that a stopping coordinator waits for its open append, in milliseconds. */
  private static final long HAND_OVER_MILLIS = 400;

  private final CellSettings settings;
  private final CellStore store;
  private final WorkerOrders orders;
  private final AdviceService advice;
  private final CellDirectory directory;
  private final EventLoop loop;
  private final Supplier<Moment> clock;
  private final CellMetrics metrics;
  private final DecisionLog log;
  private final PeerMessage.Hello self;
  private final PeerServer server;
  private final ConfigHolder config = new ConfigHolder();
  private final CoordinatorRequests requests = new CoordinatorRequests(config);
  private final ConfigFollower configFollower;
  private final LeadershipFollower leadershipFollower;
  private final CoordinatorCandidate candidate;
  private final CellClient client;
  private final CoordinatorLink link;
  private final StandbyFollower standby;
  private Leadership leadership = Leadership.NONE;
  private HelperPool helpers;
  private CoordinatorService coordinator;
  private ScheduledFuture<?> checks;
  private OptionalLong loadingSinceMillis = OptionalLong.empty();
  private long loadingEpoch;
  private boolean stopping;

  /** Creates the node of an instance. */
  public CellNode(
      CellSettings settings,
      CellPlatform platform,
      EventLoop loop,
      Supplier<Moment> clock,
      CellMetrics metrics,
      DecisionLog log) {
    this.settings = settings;
    this.store = platform.store();
    this.orders = platform.orders();
    this.advice = platform.advice();
    this.directory = platform.directory();
    this.loop = loop;
    this.clock = clock;
    this.metrics = metrics;
    this.log = log;
    this.self = new PeerMessage.Hello(settings.instanceId(), settings.zone());
    this.server =
        new PeerServer(
            PeerAddress.parse(settings.peerAddress()),
            CellSettings.PEERS,
            self,
            this::answer,
            loop);
    this.standby = new StandbyFollower(store, directory, loop, settings.fit());
    this.link =
        new CoordinatorLink(
            self,
            settings.peerAddress(),
            settings.fit(),
            this::heartbeat,
            standby::designated,
            loop);
    this.configFollower =
        new ConfigFollower(directory, config, loop, clock, log, this::configChanged);
    this.leadershipFollower = new LeadershipFollower(store, loop, this::announced);
    this.client = new CellClient(this::route, loop, this::nowMillis);
    this.candidate =
        new CoordinatorCandidate(
            store, this::nowMillis, metrics, log, this::claimDelayMillis, this::load);
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
          checkAgainLater();
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
    if (coordinator == null) {
      resigned.complete(null);
      return;
    }
    if (coordinator.storing() && nowMillis() < latestMillis) {
      loop.schedule(() -> resignWhenStored(resigned, latestMillis), 10, TimeUnit.MILLISECONDS);
      return;
    }
    long epoch = coordinator.epoch();
    endCoordinator("resigned");
    store
        .announce(new Leadership(epoch, settings.instanceId(), ""))
        .whenComplete((done, failure) -> resigned.complete(null));
  }

  /** Ends all work. */
  public void stop() {
    stopping = true;
    if (checks != null) {
      checks.cancel(false);
    }
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
    return coordinator != null && coordinator.sound();
  }

  /** Returns the client through which requests reach the coordinator. */
  public CellClient client() {
    return client;
  }

  private long nowMillis() {
    return clock.get().steadyMillis();
  }

  private CompletableFuture<CellReply> route(PeerMessage message) {
    if (coordinator != null) {
      return requests.serve(coordinator, message);
    }
    return link.forward(message);
  }

  private CompletableFuture<PeerMessage> answer(PeerMessage.Hello peer, PeerMessage message) {
    return switch (message) {
      case PeerMessage.Heartbeat heartbeat -> CompletableFuture.completedFuture(heartbeat());
      case PeerMessage.HelperOffer offer ->
          CompletableFuture.completedFuture(answerOffer(peer, offer));
      case PeerMessage.AdviceRequest request -> HelperPool.answer(advice, request);
      default -> answerRequest(message);
    };
  }

  private PeerMessage answerOffer(PeerMessage.Hello peer, PeerMessage.HelperOffer offer) {
    if (helpers == null) {
      return new PeerMessage.HelperAnswer(0, false);
    }
    boolean standby = helpers.offered(offer, peer.zone());
    return new PeerMessage.HelperAnswer(coordinator.epoch(), standby);
  }

  private CompletableFuture<PeerMessage> answerRequest(PeerMessage message) {
    if (coordinator == null) {
      return CompletableFuture.completedFuture(
          CellReply.of(CellOutcome.NOT_COORDINATOR, "this instance is not the coordinator")
              .toMessage());
    }
    return requests.serve(coordinator, message).thenApply(CellReply::toMessage);
  }

  private PeerMessage.Heartbeat heartbeat() {
    boolean loading = ElapsedTime.within(loadingSinceMillis, nowMillis(), LOADING_MILLIS);
    boolean sound = loading || (coordinator != null && coordinator.storing(UNSOUND_MILLIS));
    long epoch = coordinator != null ? coordinator.epoch() : loadingEpoch;
    return new PeerMessage.Heartbeat(
        settings.instanceId(),
        settings.zone(),
        epoch,
        sound,
        config.published().config().version(),
        0);
  }

  private void configChanged() {
    if (coordinator != null) {
      coordinator.published(config.published());
    }
  }

  private void announced(Leadership announced) {
    candidate.epochSeen(announced.epoch());
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
    if (coordinator != null && announced.epoch() > coordinator.epoch()) {
      endCoordinator("replaced by epoch " + announced.epoch());
    }
    boolean own = announced.instanceId().equals(settings.instanceId());
    link.close();
    if (!announced.vacant() && !own) {
      link.open(announced.address(), heartbeat -> heard(announced, heartbeat));
    }
    if (own && coordinator == null && loadingSinceMillis.isEmpty()) {
      // An earlier process of this instance was the coordinator.
      candidate.election().coordinatorGone();
    }
  }

  private void heard(Leadership coordinatorAt, PeerMessage.Heartbeat heartbeat) {
    if (!coordinatorAt.equals(leadership)) {
      return;
    }
    if (heartbeat.zoneEpoch() != coordinatorAt.epoch()) {
      candidate.election().coordinatorGone();
    } else if (heartbeat.ownsZone()) {
      candidate.election().coordinatorSound(nowMillis());
    } else {
      candidate.election().coordinatorUnsound();
    }
  }

  private void checkAgainLater() {
    boolean searching = coordinator == null && candidate.searching(nowMillis());
    long delayMillis = searching ? SEARCH_CHECK_MILLIS : CHECK_MILLIS;
    checks = loop.schedule(this::checkAndRepeat, delayMillis, TimeUnit.MILLISECONDS);
  }

  private void checkAndRepeat() {
    if (!stopping) {
      check();
      checkAgainLater();
    }
  }

  private void check() {
    long now = nowMillis();
    if (coordinator != null) {
      coordinator.updateGauges();
      return;
    }
    link.offerHelp(now);
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
    return standby.othersDesignated() ? NO_STANDBY_DELAY_MILLIS : 0;
  }

  private void load(long epoch) {
    if (stopping) {
      return;
    }
    loadingSinceMillis = OptionalLong.of(nowMillis());
    loadingEpoch = epoch;
    Leadership own = new Leadership(epoch, settings.instanceId(), settings.peerAddress());
    store.announce(own);
    store
        .load()
        .whenComplete(
            (records, failure) -> {
              candidate.claimDone();
              loadingSinceMillis = OptionalLong.empty();
              if (failure != null) {
                LOGGER.warn("the records of epoch {} cannot be loaded: {}", epoch, failure);
                return;
              }
              begin(epoch, records);
            });
  }

  private void begin(long epoch, List<RecordWrite> records) {
    if (stopping || candidate.highestEpoch() > epoch) {
      return;
    }
    metrics.state("coordinator", 1);
    helpers =
        new HelperPool(
            self, advice, CellSettings.ADVISERS, loop, loop, this::heartbeat, this::nowMillis);
    coordinator =
        new CoordinatorService(
            epoch,
            CoordinatorSettings.forPlatform(settings.maxLeaseMillis(), settings.keepEndedMillis()),
            store,
            orders,
            helpers,
            directory,
            loop,
            clock,
            metrics,
            log,
            () -> endCoordinator("deposed"));
    standby.release();
    coordinator.start(records, config.published());
  }

  private void endCoordinator(String reason) {
    if (coordinator == null) {
      return;
    }
    log.decision("role", "epoch-" + coordinator.epoch(), "ended", "reason=" + reason);
    metrics.election("ended");
    metrics.state("coordinator", 0);
    CoordinatorService ended = coordinator;
    coordinator = null;
    ended.stop();
    helpers.stop();
    helpers = null;
    candidate.election().coordinatorUnsound();
  }
}
