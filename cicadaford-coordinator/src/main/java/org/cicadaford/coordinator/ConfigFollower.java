package org.cicadaford.coordinator;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.cell.ClockReading;

/** Follows the published configuration and confirms it about once a second. */
final class ConfigFollower {

  private static final Logger LOGGER = LogManager.getLogger(ConfigFollower.class);

  /** Time that a read waits for a change, in milliseconds. */
  private static final long LONG_POLL_MILLIS = 900;

  /** Delay before the next read after a failure, in milliseconds. */
  private static final long RETRY_DELAY_MILLIS = 200;

  private final CellDirectory directory;
  private final ConfigHolder config;
  private final ScheduledExecutorService loop;
  private final Supplier<ClockReading> clock;
  private final DecisionLog log;
  private final Runnable onChange;
  private boolean storeReachable = true;
  private boolean stopped;

  /** Creates the follower; {@code onChange} runs after each change. */
  ConfigFollower(
      CellDirectory directory,
      ConfigHolder config,
      ScheduledExecutorService loop,
      Supplier<ClockReading> clock,
      DecisionLog log,
      Runnable onChange) {
    this.directory = directory;
    this.config = config;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.onChange = onChange;
  }

  /** Starts reading the configuration repeatedly. */
  void start() {
    poll();
  }

  /** Stops after the pending read. */
  void stop() {
    stopped = true;
  }

  private void poll() {
    if (stopped) {
      return;
    }
    ClockReading requestedAt = clock.get();
    directory
        .awaitConfigChange(LONG_POLL_MILLIS)
        .handle(
            (published, failure) -> {
              if (failure == null) {
                applyConfig(published, requestedAt);
                poll();
              } else {
                reportReadFailure(failure);
                loop.schedule(this::poll, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
              }
              return null;
            })
        .exceptionally(
            failure -> {
              LOGGER.error("failed to apply a configuration, reading it again", failure);
              loop.schedule(this::poll, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
              return null;
            });
  }

  private void reportReadFailure(Throwable failure) {
    if (storeReachable) {
      LOGGER.warn("store lost: configuration cannot be confirmed: {}", failure.getMessage());
      storeReachable = false;
    }
  }

  private void applyConfig(CellDirectory.PublishedConfig published, ClockReading requestedAt) {
    if (!storeReachable) {
      LOGGER.info("store back: configuration confirmed again");
      storeReachable = true;
    }
    if (config.update(published, requestedAt)) {
      log.write(
          "config",
          "version-" + published.config().version(),
          "in-force",
          "zones_out=" + published.zonesOut());
      onChange.run();
    }
  }
}
