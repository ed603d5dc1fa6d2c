package org.cicadaford.coordinator;

import java.util.OptionalLong;
import org.cicadaford.cell.ElapsedTime;

/**
 * Decides when an instance claims the coordinator role.
 *
 * <p>The coordinator appends to the journal at least every {@link #JOURNAL_HEARTBEAT_MILLIS}. An
 * instance claims the journal only if it receives no healthy heartbeat, the journal has not grown
 * for the required time, and its end is still the observed one. An instance that is partitioned
 * from a working coordinator therefore does not replace it. If the announced instance reports that
 * it is not the coordinator, the role is vacant and claimed without this wait.
 */
public final class ElectionPolicy {

  /** Maximum interval between the coordinator's appends, in milliseconds. */
  public static final long JOURNAL_HEARTBEAT_MILLIS = 100;

  /**
   * Time without a healthy heartbeat after which the journal is observed, in milliseconds: one
   * heartbeat interval and a margin for slow links.
   */
  static final long HEARTBEAT_TIMEOUT_MILLIS = 250;

  /**
   * Same timeout for a standby, which probes every 50 ms, in milliseconds: two missing answers and
   * a margin.
   */
  static final long STANDBY_HEARTBEAT_TIMEOUT_MILLIS = 130;

  /**
   * Time without growth after which the journal counts as abandoned, in milliseconds: two appends
   * and the 200 ms after which a lost packet is retransmitted.
   */
  static final long JOURNAL_IDLE_TIMEOUT_MILLIS = 400;

  /**
   * Same timeout when the coordinator's address refuses connections, in milliseconds: one append
   * more than the maximum interval, as an unreachable coordinator still appends.
   */
  static final long REFUSED_IDLE_TIMEOUT_MILLIS = 250;

  private OptionalLong observedEnd = OptionalLong.empty();
  private long idleSinceMillis;
  private long observationDurationMillis;
  private OptionalLong lastHealthyAtMillis = OptionalLong.empty();
  private boolean vacant = true;
  private boolean unhealthy;
  private boolean connectionRefused;
  private long heartbeatTimeoutMillis = HEARTBEAT_TIMEOUT_MILLIS;

  /** Sets whether this instance is a standby, which uses the shorter heartbeat timeout. */
  public void setStandby(boolean standby) {
    heartbeatTimeoutMillis = standby ? STANDBY_HEARTBEAT_TIMEOUT_MILLIS : HEARTBEAT_TIMEOUT_MILLIS;
  }

  /** Records a healthy heartbeat of the coordinator. */
  public void recordHealthyCoordinator(long nowMillis) {
    lastHealthyAtMillis = OptionalLong.of(nowMillis);
    observedEnd = OptionalLong.empty();
    vacant = false;
    unhealthy = false;
    connectionRefused = false;
  }

  /**
   * Records that the coordinator is unable to store or unreachable, so that the journal is
   * observed.
   */
  public void recordUnhealthyCoordinator() {
    unhealthy = true;
  }

  /** Records that the coordinator's address refuses connections. */
  public void recordConnectionRefused() {
    unhealthy = true;
    connectionRefused = true;
  }

  /** Records that the announced instance is no longer the coordinator. */
  public void recordVacancy() {
    vacant = true;
  }

  /**
   * Records that another instance has just claimed the role. It must not be replaced while it loads
   * the records.
   */
  public void recordLostClaim(long nowMillis) {
    recordHealthyCoordinator(nowMillis);
  }

  /** Records an announcement. */
  public void recordAnnouncement(Leadership leadership, long nowMillis) {
    vacant = leadership.vacant();
    observedEnd = OptionalLong.empty();
    unhealthy = false;
    connectionRefused = false;
    if (!vacant) {
      lastHealthyAtMillis = OptionalLong.of(nowMillis);
    }
  }

  /** Returns whether the journal's end should be observed now. */
  public boolean shouldObserveJournal(long nowMillis) {
    return vacant
        || unhealthy
        || !ElapsedTime.within(lastHealthyAtMillis, nowMillis, heartbeatTimeoutMillis - 1);
  }

  /** Records the journal's end as observed at some time between the request and its answer. */
  public void recordJournalEnd(long end, long requestedAtMillis, long answeredAtMillis) {
    observationDurationMillis = answeredAtMillis - requestedAtMillis;
    if (observedEnd.isEmpty() || end != observedEnd.getAsLong()) {
      observedEnd = OptionalLong.of(end);
      idleSinceMillis = answeredAtMillis;
    }
  }

  /**
   * Returns the end at which the journal may be claimed, or empty if it may not.
   *
   * <p>A slow store also delays the appends of a working coordinator, so twice the duration of the
   * last observation is added to the timeout.
   *
   * @param delayMillis delay of this instance, which avoids simultaneous claims
   */
  public OptionalLong claimableEnd(long nowMillis, long delayMillis) {
    if (observedEnd.isEmpty() || !shouldObserveJournal(nowMillis)) {
      return OptionalLong.empty();
    }
    long idleTimeoutMillis =
        connectionRefused ? REFUSED_IDLE_TIMEOUT_MILLIS : JOURNAL_IDLE_TIMEOUT_MILLIS;
    long requiredIdleMillis = vacant ? 0 : idleTimeoutMillis + 2 * observationDurationMillis;
    long idleMillis = nowMillis - idleSinceMillis;
    return idleMillis >= requiredIdleMillis + delayMillis ? observedEnd : OptionalLong.empty();
  }
}
