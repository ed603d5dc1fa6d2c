package org.cicadaford.coordinator;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.cell.ClockReading;

/** Follows what operators publish, and confirms it at least about once a second. */
final class ConfigFollower {

  private static final Logger LOGGER = LogManager.getLogger(ConfigFollower.class);

  /** Time for which an answer of the directory may wait for a change, in milliseconds. */
  private static final long CONFIG_WAIT_MILLIS = 900;

  /** Time between attempts to read after a failure, in milliseconds. */
  private static final long READ_RETRY_MILLIS = 200;

  private final CellDirectory directory;
  private final ConfigHolder config;
  private final ScheduledExecutorService loop;
  private final Supplier<ClockReading> clock;
  private final DecisionLog log;
  private final Runnable changed;
  private boolean configReachable = true;
  private boolean stopped;

  /** Creates the follower; {@code changed} is called after each change. */
  ConfigFollower(
      CellDirectory directory,
      ConfigHolder config,
      ScheduledExecutorService loop,
      Supplier<ClockReading> clock,
      DecisionLog log,
      Runnable changed) {
    this.directory = directory;
    this.config = config;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.changed = changed;
  }

  /** Reads what is published, again and again. */
  void start() {
    follow();
  }

  /** Stops after the open reading. */
  void stop() {
    stopped = true;
  }

  private void follow() {
    if (stopped) {
      return;
    }
    ClockReading askedAt = clock.get();
    directory
        .awaitConfigChange(CONFIG_WAIT_MILLIS)
        .handle(
            (published, failure) -> {
              if (failure == null) {
                configRead(published, askedAt);
                follow();
              } else {
                configLost(failure);
                loop.schedule(this::follow, READ_RETRY_MILLIS, TimeUnit.MILLISECONDS);
              }
              return null;
            })
        .exceptionally(
            failure -> {
              LOGGER.error("a configuration could not be applied; it is read again", failure);
              loop.schedule(this::follow, READ_RETRY_MILLIS, TimeUnit.MILLISECONDS);
              return null;
            });
  }

  private void configLost(Throwable failure) {
    if (configReachable) {
      LOGGER.warn("store lost: configuration cannot be confirmed: {}", failure.getMessage());
      configReachable = false;
    }
  }

  private void configRead(CellDirectory.PublishedConfig published, ClockReading askedAt) {
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
      changed.run();
    }
  }
}
