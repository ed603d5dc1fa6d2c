package org.cicadaford.coordinator;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.cell.CoordinatorSettings;
import org.cicadaford.cell.JobSpec;
import org.cicadaford.cell.Moment;
import org.cicadaford.cell.Queue;
import org.cicadaford.cell.RecordWrite;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.wire.PeerException;
import org.cicadaford.wire.PeerLink;
import org.cicadaford.wire.PeerMessage;
import org.cicadaford.wire.PeerServer;
import org.cicadaford.wire.PeerSettings;

/**
 * Takes part in a cell: follows the configuration and the coordinator, and becomes the coordinator
 * when there is none. Used on one event loop.
 */
public final class CellNode {

  private static final Logger LOGGER = LogManager.getLogger(CellNode.class);

  /** Time for which an answer of the directory may wait for a change, in milliseconds. */
  private static final long CONFIG_WAIT_MILLIS = 900;

  /** Time for which the store may wait for another announcement, in milliseconds. */
  private static final long LEADERSHIP_WAIT_MILLIS = 5_000;

  /** Time between attempts to read after a failure, in milliseconds. */
  private static final long READ_RETRY_MILLIS = 200;

  /** Time between two checks of the coordinator, in milliseconds. */
  private static final long CHECK_MILLIS = 100;

  /** Time between two offers to call the advice service, in milliseconds. */
  private static final long OFFER_MILLIS = 800;

  /** Largest random delay of a claim, in milliseconds. */
  private static final int CLAIM_DELAY_BOUND_MILLIS = 200;

  /** Range of the random part of an epoch, so that two claims never use the same one. */
  private static final int EPOCH_SPREAD = 64;

  /** Time in which the records must be loaded after a claim, in milliseconds. */
  private static final long LOADING_MILLIS = 4_000;

  /** Longest time that a stopping coordinator waits for its open append, in milliseconds. */
  private static final long HAND_OVER_MILLIS = 400;

  private static final PeerSettings PEER_SETTINGS = new PeerSettings(1 << 20, 250, 1_500, 700, 512);

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
  private final ElectionPolicy election = new ElectionPolicy();
  private final Random random = new Random();
  private final CellClient client;
  private Leadership leadership = Leadership.NONE;
  private PeerLink link;
  private AdvisorPool advisors;
  private CoordinatorService coordinator;
  private ScheduledFuture<?> checks;
  private boolean claiming;
  private long loadingSinceMillis = -1;
  private long loadingEpoch;
  private boolean observing;
  private boolean stopping;
  private boolean configReachable = true;
  private long claimDelayMillis;
  private long nextOfferMillis;
  private long highestEpoch;

  /** Creates the node of an instance. */
  public CellNode(
      CellSettings settings,
      CellStore store,
      WorkerOrders orders,
      AdviceService advice,
      CellDirectory directory,
      EventLoop loop,
      Supplier<Moment> clock,
      CellMetrics metrics,
      DecisionLog log) {
    this.settings = settings;
    this.store = store;
    this.orders = orders;
    this.advice = advice;
    this.directory = directory;
    this.loop = loop;
    this.clock = clock;
    this.metrics = metrics;
    this.log = log;
    this.self = new PeerMessage.Hello(settings.instanceId(), settings.zone());
    this.server =
        new PeerServer(
            PeerAddress.parse(settings.peerAddress()),
            PEER_SETTINGS,
            self,
            (peer, message) -> answer(message),
            loop);
    this.client = new CellClient(this::route, loop, this::nowMillis);
    this.claimDelayMillis = random.nextInt(CLAIM_DELAY_BOUND_MILLIS);
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
          followConfig();
          followLeadership();
          checks =
              loop.scheduleWithFixedDelay(
                  this::check, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
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
    endCoordinator("stopped");
    closeLink();
    server.stop();
  }

  /** Returns the configuration as this process knows it. */
  public ConfigHolder config() {
    return config;
  }

  /** Returns whether keys may be accepted: the configuration was confirmed recently. */
  public boolean keysFresh() {
    return config.ageMillis(clock.get()) <= settings.keyFreshnessMillis();
  }

  /** Returns whether requests can be served here. */
  public boolean ready() {
    return !stopping && config.known() && (coordinatorSound() || linkSound());
  }

  private boolean coordinatorSound() {
    return coordinator != null && coordinator.sound();
  }

  private boolean linkSound() {
    return link != null && link.isConnected();
  }

  /** Submits a job. */
  public CompletableFuture<CellReply> submit(
      String jobId, String queue, String team, JobSpec spec, long timeoutMillis) {
    return client.send(
        new PeerMessage.SubmitJob(jobId, queue, team, RecordCodec.encode(spec)), timeoutMillis);
  }

  /** Cancels a job. */
  public CompletableFuture<CellReply> cancel(
      String jobId, String queue, String team, long timeoutMillis) {
    return client.send(new PeerMessage.CancelJob(jobId, queue, team), timeoutMillis);
  }

  /** Returns the state of a job. */
  public CompletableFuture<CellReply> phase(
      String jobId, String queue, String team, long timeoutMillis) {
    return client.send(new PeerMessage.JobPhaseRequest(jobId, queue, team), timeoutMillis);
  }

  /** Returns the number of jobs of a queue that have not started. */
  public CompletableFuture<CellReply> pendingCount(String queue, long timeoutMillis) {
    return client.send(new PeerMessage.PendingCountRequest(queue), timeoutMillis);
  }

  private long nowMillis() {
    return clock.get().steadyMillis();
  }

  private CompletableFuture<CellReply> route(PeerMessage message) {
    if (coordinator != null) {
      return serve(message);
    }
    if (link == null || !link.isConnected()) {
      return null;
    }
    return link.ask(message, LEADERSHIP_WAIT_MILLIS).thenApply(CellReply::of);
  }

  private CompletableFuture<CellReply> serve(PeerMessage message) {
    return switch (message) {
      case PeerMessage.SubmitJob(String jobId, String queue, String team, byte[] spec) ->
          submitHere(jobId, queue, team, spec);
      case PeerMessage.CancelJob(String jobId, String queue, String team) ->
          coordinator.cancel(jobId, queue, team);
      case PeerMessage.JobPhaseRequest(String jobId, String queue, String team) ->
          CompletableFuture.completedFuture(coordinator.phase(jobId, queue, team));
      case PeerMessage.PendingCountRequest(String queue) ->
          CompletableFuture.completedFuture(coordinator.pendingCount(queue));
      default ->
          CompletableFuture.completedFuture(
              CellReply.of(CellOutcome.INVALID, "not a request to the coordinator"));
    };
  }

  private CompletableFuture<CellReply> submitHere(
      String jobId, String queueName, String team, byte[] spec) {
    Queue queue = config.published().config().queue(queueName).orElse(null);
    if (queue == null) {
      return CompletableFuture.completedFuture(
          CellReply.of(CellOutcome.NOT_COORDINATOR, "the queue is not known here yet"));
    }
    try {
      return coordinator.submit(jobId, queue, team, RecordCodec.decode(spec, JobSpec.class));
    } catch (MalformedRecordException e) {
      return CompletableFuture.completedFuture(
          CellReply.of(CellOutcome.INVALID, "the description cannot be read: " + e.getMessage()));
    }
  }

  private CompletableFuture<PeerMessage> answer(PeerMessage message) {
    return switch (message) {
      case PeerMessage.Heartbeat heartbeat -> CompletableFuture.completedFuture(heartbeat());
      case PeerMessage.AdvisorOffer offer -> {
        if (advisors != null) {
          advisors.offered(offer);
        }
        yield CompletableFuture.completedFuture(heartbeat());
      }
      case PeerMessage.AdviceRequest(var step, var workerIds, long timeoutMillis) ->
          advice
              .ask(step, workerIds, timeoutMillis)
              .thenApply(
                  given ->
                      new PeerMessage.AdviceAnswer(given.ticketByWorker(), given.validMillis()));
      default -> answerRequest(message);
    };
  }

  private CompletableFuture<PeerMessage> answerRequest(PeerMessage message) {
    if (coordinator == null) {
      return CompletableFuture.completedFuture(
          CellReply.of(CellOutcome.NOT_COORDINATOR, "this instance is not the coordinator")
              .toMessage());
    }
    return serve(message).thenApply(CellReply::toMessage);
  }

  private PeerMessage.Heartbeat heartbeat() {
    boolean loading = loadingSinceMillis >= 0 && nowMillis() - loadingSinceMillis <= LOADING_MILLIS;
    boolean sound = coordinatorSound() || loading;
    long epoch = coordinator != null ? coordinator.epoch() : loadingEpoch;
    return new PeerMessage.Heartbeat(
        settings.instanceId(),
        settings.zone(),
        epoch,
        sound,
        config.published().config().version(),
        0);
  }

  private void followConfig() {
    Moment askedAt = clock.get();
    directory
        .published(CONFIG_WAIT_MILLIS)
        .whenComplete(
            (published, failure) -> {
              if (failure != null) {
                configLost(failure);
                loop.schedule(this::followConfig, READ_RETRY_MILLIS, TimeUnit.MILLISECONDS);
                return;
              }
              configRead(published, askedAt);
              followConfig();
            });
  }

  private void configLost(Throwable failure) {
    if (configReachable) {
      LOGGER.warn("store lost: configuration cannot be confirmed: {}", failure.getMessage());
      configReachable = false;
    }
  }

  private void configRead(CellDirectory.Published published, Moment askedAt) {
    if (!configReachable) {
      LOGGER.info("store back: configuration confirmed again");
      configReachable = true;
    }
    if (config.take(published, askedAt)) {
      log.decision(
          "config",
          "version-" + published.config().version(),
          "in-force",
          "zones_out=" + published.zonesOut());
      if (coordinator != null) {
        coordinator.published(config.published());
      }
    }
  }

  private void followLeadership() {
    store
        .leadership(LEADERSHIP_WAIT_MILLIS)
        .whenComplete(
            (announced, failure) -> {
              if (failure != null) {
                loop.schedule(this::followLeadership, READ_RETRY_MILLIS, TimeUnit.MILLISECONDS);
                return;
              }
              announced(announced);
              followLeadership();
            });
  }

  private void announced(Leadership announced) {
    highestEpoch = Math.max(highestEpoch, announced.epoch());
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
    election.announced(announced, nowMillis());
    if (coordinator != null && announced.epoch() > coordinator.epoch()) {
      endCoordinator("replaced by epoch " + announced.epoch());
    }
    boolean own = announced.instanceId().equals(settings.instanceId());
    closeLink();
    if (!announced.vacant() && !own) {
      openLink(announced);
    }
  }

  private void openLink(Leadership coordinatorAt) {
    link =
        new PeerLink(
            PeerAddress.parse(coordinatorAt.address()),
            PEER_SETTINGS,
            self,
            this::heartbeat,
            heartbeat -> heard(coordinatorAt, heartbeat),
            loop);
    link.start();
    nextOfferMillis = 0;
  }

  private void closeLink() {
    if (link != null) {
      link.stop();
      link = null;
    }
  }

  private void heard(Leadership coordinatorAt, PeerMessage.Heartbeat heartbeat) {
    boolean sound = heartbeat.ownsZone() && heartbeat.zoneEpoch() == coordinatorAt.epoch();
    if (sound && coordinatorAt.equals(leadership)) {
      election.coordinatorSound(nowMillis());
    }
  }

  private void check() {
    if (stopping) {
      return;
    }
    long now = nowMillis();
    if (coordinator != null) {
      coordinator.updateGauges();
      return;
    }
    if (link != null && link.isConnected() && now >= nextOfferMillis) {
      nextOfferMillis = now + OFFER_MILLIS;
      link.ask(
          new PeerMessage.AdvisorOffer(settings.instanceId(), settings.peerAddress()),
          OFFER_MILLIS);
    }
    if (claiming || !config.known()) {
      return;
    }
    if (election.wantsObservation(now) && !observing) {
      observe(now);
    }
    long end = election.claimableEnd(now, claimDelayMillis);
    if (end >= 0) {
      claim(end);
    }
  }

  private void observe(long askedAtMillis) {
    observing = true;
    store
        .journalEnd()
        .whenComplete(
            (end, failure) -> {
              observing = false;
              if (failure == null) {
                election.observed(end, askedAtMillis);
              }
            });
  }

  private void claim(long end) {
    claiming = true;
    claimDelayMillis = random.nextInt(CLAIM_DELAY_BOUND_MILLIS);
    long epoch = highestEpoch + 1 + random.nextInt(EPOCH_SPREAD);
    highestEpoch = epoch;
    store
        .claim(epoch, end)
        .whenComplete(
            (outcome, failure) -> {
              boolean claimed = failure == null && outcome == AppendOutcome.STORED;
              String result = failure == null ? outcome.name() : failure.toString();
              log.decision("claim", "epoch-" + epoch, result, "end=" + end);
              metrics.election(claimed ? "claimed" : "not-claimed");
              if (claimed && !stopping) {
                load(epoch);
              } else {
                claiming = false;
              }
            });
  }

  private void load(long epoch) {
    loadingSinceMillis = nowMillis();
    loadingEpoch = epoch;
    Leadership own = new Leadership(epoch, settings.instanceId(), settings.peerAddress());
    store.announce(own);
    store
        .load()
        .whenComplete(
            (records, failure) -> {
              claiming = false;
              loadingSinceMillis = -1;
              if (failure != null) {
                LOGGER.warn("the records of epoch {} cannot be loaded: {}", epoch, failure);
                return;
              }
              begin(epoch, records);
            });
  }

  private void begin(long epoch, List<RecordWrite> records) {
    if (stopping || highestEpoch > epoch) {
      return;
    }
    metrics.state("coordinator", 1);
    advisors =
        new AdvisorPool(self, advice, PEER_SETTINGS, loop, loop, this::heartbeat, this::nowMillis);
    coordinator =
        new CoordinatorService(
            epoch,
            CoordinatorSettings.forPlatform(settings.maxLeaseMillis(), settings.keepEndedMillis()),
            store,
            orders,
            advisors,
            directory,
            loop,
            clock,
            metrics,
            log,
            () -> endCoordinator("deposed"));
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
    advisors.stop();
    advisors = null;
  }
}
