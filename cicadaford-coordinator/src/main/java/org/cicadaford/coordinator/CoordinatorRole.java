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

/** Manages the coordinator role on this instance, from claiming an epoch until its end. */
final class CoordinatorRole {

  /**
   * Age of the last stored batch above which a heartbeat reports the coordinator as unhealthy, so
   * that other instances observe the journal, in milliseconds.
   */
  private static final long MAX_APPEND_AGE_MILLIS = 400;

  /** Time allowed for loading the records after a claim, in milliseconds. */
  private static final long LOADING_TIMEOUT_MILLIS = 4_000;

  private final PeerMessage.Hello self;
  private final CellSettings settings;
  private final CellPlatform platform;
  private final ConfigHolder config;
  private final EventLoop loop;
  private final Supplier<ClockReading> clock;
  private final CellMetrics metrics;
  private final DecisionLog log;
  private final Runnable onDeposed;
  private OptionalLong loadingSinceMillis = OptionalLong.empty();
  private long loadingEpoch;
  private HelperPool helpers;
  private CoordinatorService service;

  /**
   * Creates the role, which is not held yet.
   *
   * @param onDeposed runs when another instance has taken over
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
      Runnable onDeposed) {
    this.self = self;
    this.settings = settings;
    this.platform = platform;
    this.config = config;
    this.loop = loop;
    this.clock = clock;
    this.metrics = metrics;
    this.log = log;
    this.onDeposed = onDeposed;
  }

  /** Returns whether this instance is the coordinator. */
  boolean isHeld() {
    return service != null;
  }

  /** Returns the service of the current epoch, or null while the role is not held. */
  CoordinatorService service() {
    return service;
  }

  /** Returns the helpers, or null while the role is not held. */
  HelperPool helpers() {
    return helpers;
  }

  /** Marks the records of a claimed epoch as being loaded. */
  void startLoading(long epoch) {
    loadingSinceMillis = OptionalLong.of(nowMillis());
    loadingEpoch = epoch;
  }

  void finishLoading() {
    loadingSinceMillis = OptionalLong.empty();
  }

  boolean isLoading() {
    return loadingSinceMillis.isPresent();
  }

  private long nowMillis() {
    return clock.get().monotonicMillis();
  }

  /**
   * Starts acting as the coordinator of a claimed epoch.
   *
   * @param leadership this instance as the coordinator of the epoch
   * @param claimedAt time at which the claim was sent; the role is confirmed as of then, however
   *     long the records took to load
   */
  void begin(Leadership leadership, ClockReading claimedAt, List<RecordWrite> records) {
    metrics.setStateGauge("coordinator", 1);
    helpers =
        new HelperPool(
            self,
            platform.advice(),
            CellSettings.HELPER_LINK_SETTINGS,
            loop,
            loop,
            this::heartbeat,
            this::nowMillis);
    service =
        new CoordinatorService(
            leadership,
            claimedAt,
            CoordinatorSettings.forPlatform(
                settings.maxLeaseMillis(), settings.keepEndedMillis(), settings.bounds()),
            platform.store(),
            platform.workers(),
            helpers,
            platform.directory(),
            loop,
            clock,
            metrics,
            log,
            onDeposed);
    service.start(records, config.published());
  }

  /** Ends the role and stops its service. */
  void end(String reason) {
    log.write("role", "epoch-" + service.epoch(), "ended", "reason=" + reason);
    metrics.recordElectionEvent("ended");
    metrics.setStateGauge("coordinator", 0);
    CoordinatorService ended = service;
    service = null;
    ended.stop();
    helpers.stop();
    helpers = null;
  }

  /** Returns the heartbeat of this instance, which states whether it is a healthy coordinator. */
  PeerMessage.Heartbeat heartbeat() {
    boolean loading = ElapsedTime.within(loadingSinceMillis, nowMillis(), LOADING_TIMEOUT_MILLIS);
    boolean healthy = loading || (service != null && service.isStoreHealthy(MAX_APPEND_AGE_MILLIS));
    long epoch = service != null ? service.epoch() : loadingEpoch;
    return new PeerMessage.Heartbeat(
        settings.instanceId(),
        settings.zone(),
        epoch,
        healthy,
        config.published().config().version(),
        0);
  }
}
