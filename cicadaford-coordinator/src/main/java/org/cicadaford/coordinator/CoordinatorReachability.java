package org.cicadaford.coordinator;

import java.util.Optional;
import java.util.OptionalLong;
import org.cicadaford.cell.ElapsedTime;

/**
 * Reports when this instance reaches no coordinator although the journal shows that there is one.
 *
 * <p>The instance then refuses all requests and does not claim the role either.
 */
final class CoordinatorReachability {

  /**
   * Time without a coordinator after which it is reported, in milliseconds; most takeovers end
   * within it.
   */
  private static final long REPORT_DELAY_MILLIS = 1_500;

  /** Time since the journal last grew up to which a coordinator appends to it, in milliseconds. */
  private static final long MAX_GROWN_AGE_MILLIS = 1_000;

  private static final String GAUGE = "coordinator_unreachable";

  private final CellMetrics metrics;
  private final DecisionLog log;
  private Leadership announced = Leadership.NONE;
  private long announcedAtMillis;
  private long journalEnd;
  private OptionalLong journalGrownAtMillis = OptionalLong.empty();
  private long journalEpoch;
  private long unreachableSinceMillis;
  private boolean reachable = true;
  private boolean reported;

  CoordinatorReachability(CellMetrics metrics, DecisionLog log) {
    this.metrics = metrics;
    this.log = log;
    metrics.setStateGauge(GAUGE, 0);
  }

  /** Records the coordinator that this instance connects to. */
  void recordAnnouncement(Leadership leadership, long nowMillis) {
    announced = leadership;
    announcedAtMillis = nowMillis;
  }

  /** Records the end of the journal, which is read while no coordinator is reached. */
  void recordJournal(JournalTail tail, long nowMillis) {
    boolean grown = journalEnd > 0 && tail.end() > journalEnd;
    if (grown && !reachable) {
      journalGrownAtMillis = OptionalLong.of(nowMillis);
    }
    journalEnd = tail.end();
    Optional<Leadership> coordinator = tail.coordinator();
    journalEpoch = coordinator.map(Leadership::epoch).orElse(journalEpoch);
  }

  /** Records whether this instance is or reaches a coordinator. */
  void check(boolean nowReachable, long nowMillis) {
    if (nowReachable) {
      if (reported) {
        report("reached", nowMillis);
      }
      journalGrownAtMillis = OptionalLong.empty();
    } else if (reachable) {
      unreachableSinceMillis = nowMillis;
    } else if (!reported
        && ElapsedTime.within(journalGrownAtMillis, nowMillis, MAX_GROWN_AGE_MILLIS)
        && nowMillis - unreachableSinceMillis >= REPORT_DELAY_MILLIS) {
      report("unreachable", nowMillis);
    }
    reachable = nowReachable;
  }

  private void report(String outcome, long nowMillis) {
    reported = !reported;
    metrics.setStateGauge(GAUGE, reported ? 1 : 0);
    String grownAge =
        journalGrownAtMillis.isPresent()
            ? Long.toString(nowMillis - journalGrownAtMillis.getAsLong())
            : "-1";
    log.write(
        "coordinator",
        "epoch-" + announced.epoch(),
        outcome,
        "instance="
            + announced.instanceId()
            + " address="
            + announced.address()
            + " announced_age_ms="
            + (nowMillis - announcedAtMillis)
            + " unreachable_ms="
            + (nowMillis - unreachableSinceMillis)
            + " journal_epoch="
            + journalEpoch
            + " journal_end="
            + journalEnd
            + " journal_grown_age_ms="
            + grownAge);
  }
}
