package org.cicadaford.coordinator;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.CoordinatorSettings;
import org.cicadaford.cell.ElapsedTime;
import org.cicadaford.cell.RecordWrite;
import org.cicadaford.wire.PeerMessage;

/** The role of the coordinator on this instance: from the claim of an epoch until its end. */
final class CoordinatorRole {

  /** Age of the last stored batch from which others watch the journal, in milliseconds. */
  private static final long UNSOUND_MILLIS = 400;

  /** Time in which the records must be loaded after a claim, in milliseconds. */
  private static final long LOADING_MILLIS = 4_000;

  private final PeerMessage.Hello self;
  private final CellSettings settings;
  private final CellPlatform platform;
  private final ConfigHolder config;
  private final EventLoop loop;
  private final Supplier<ClockReading> clock;
  private final CellMetrics metrics;
  private final DecisionLog log;
  private final Runnable deposed;
  private OptionalLong loadingSinceMillis = OptionalLong.empty();
  private long loadingEpoch;
  private HelperPool helpers;
  private CoordinatorService service;

  /**
   * Creates the role, which is not held yet.
   *
   * @param deposed called when another instance has taken over
   */
  CoordinatorRole(
      PeerMessage.Hello self,
      CellSettings settings,
      CellPlatform platform,
      ConfigHolder config,
      EventLoop loop,
      Supplier<ClockReading> clock,
      CellMetrics metrics,
      DecisionLog log,
      Runnable deposed) {
    this.self = self;
    this.settings = settings;
    this.platform = platform;
    this.config = config;
    this.loop = loop;
    this.clock = clock;
    this.metrics = metrics;
    this.log = log;
    this.deposed = deposed;
  }

  /** Returns whether this instance is the coordinator. */
  boolean held() {
    return service != null;
  }

  /** Returns the service of the epoch; only while the role is held. */
  CoordinatorService service() {
    return service;
  }

  /** Returns the instances that help; only while the role is held. */
  HelperPool helpers() {
    return helpers;
  }

  /** Notes that an epoch was claimed and its records are being loaded. */
  void loading(long epoch) {
    loadingSinceMillis = OptionalLong.of(nowMillis());
    loadingEpoch = epoch;
  }

  void loaded() {
    loadingSinceMillis = OptionalLong.empty();
  }

  boolean isLoading() {
    return loadingSinceMillis.isPresent();
  }

  private long nowMillis() {
    return clock.get().monotonicMillis();
  }

  /** Begins to act as the coordinator of an epoch that was claimed. */
  void begin(long epoch, List<RecordWrite> records) {
    metrics.state("coordinator", 1);
    helpers =
        new HelperPool(
            self,
            platform.advice(),
            CellSettings.ADVISERS,
            loop,
            loop,
            this::heartbeat,
            this::nowMillis);
    service =
        new CoordinatorService(
            epoch,
            CoordinatorSettings.forPlatform(settings.maxLeaseMillis(), settings.keepEndedMillis()),
            platform.store(),
            platform.orders(),
            helpers,
            platform.directory(),
            loop,
            clock,
            metrics,
            log,
            deposed);
    service.start(records, config.published());
  }

  /** Ends the role. */
  void end(String reason) {
    log.decision("role", "epoch-" + service.epoch(), "ended", "reason=" + reason);
    metrics.election("ended");
    metrics.state("coordinator", 0);
    CoordinatorService ended = service;
    service = null;
    ended.stop();
    helpers.stop();
    helpers = null;
  }

  /** Returns what this instance tells the others: whether it is the coordinator, and sound. */
  PeerMessage.Heartbeat heartbeat() {
    boolean loading = ElapsedTime.within(loadingSinceMillis, nowMillis(), LOADING_MILLIS);
    boolean sound = loading || (service != null && service.storing(UNSOUND_MILLIS));
    long epoch = service != null ? service.epoch() : loadingEpoch;
    return new PeerMessage.Heartbeat(
        settings.instanceId(),
        settings.zone(),
        epoch,
        sound,
        config.published().config().version(),
        0);
  }
}
