package org.cicadaford.coordinator;

import java.util.OptionalLong;
import org.cicadaford.cell.ElapsedTime;

/**
 * Decides when an instance claims the role of the cell coordinator.
 *
 * <p>The coordinator writes to the journal at least every {@link #JOURNAL_HEARTBEAT_MILLIS}. An
 * instance claims the journal only when it hears nothing sound from the coordinator and the journal
 * has not grown for a while, and only at the very end that it has seen; so an instance that is
 * merely cut off from a coordinator that works does not replace it. When the announced instance
 * itself says that it is not the coordinator, the role is vacant and is claimed at once.
 */
public final class ElectionPolicy {

  /** Longest time between two appends of the coordinator, in milliseconds. */
  public static final long JOURNAL_HEARTBEAT_MILLIS = 100;

  /**
   * Time without a sound answer from the coordinator after which the journal is watched: one
   * heartbeat between instances and a reserve for slow links.
   */
  static final long SILENCE_MILLIS = 250;

  /** The same for a standby, which asks every 50 ms: two answers that are missing and a reserve. */
  static final long STANDBY_SILENCE_MILLIS = 130;

  /**
   * Time without growth after which the journal counts as abandoned, in milliseconds: two appends
   * and the 200 ms after which a lost packet is sent again.
   */
  static final long ABANDONED_MILLIS = 400;

  /**
   * The same, when no process listens at the coordinator's address, in milliseconds: one append
   * more than the longest time between two. A coordinator that others cannot reach still appends.
   */
  static final long REFUSED_MILLIS = 250;

  private OptionalLong observedEnd = OptionalLong.empty();
  private long unchangedSinceMillis;
  private long observationMillis;
  private OptionalLong lastSoundAtMillis = OptionalLong.empty();
  private boolean vacant = true;
  private boolean unsound;
  private boolean refused;
  private long silenceMillis = SILENCE_MILLIS;

  /** Sets whether this instance is a standby, which watches the coordinator more closely. */
  public void standby(boolean standby) {
    silenceMillis = standby ? STANDBY_SILENCE_MILLIS : SILENCE_MILLIS;
  }

  /** Takes a sound answer of the coordinator. */
  public void coordinatorSound(long nowMillis) {
    lastSoundAtMillis = OptionalLong.of(nowMillis);
    observedEnd = OptionalLong.empty();
    vacant = false;
    unsound = false;
    refused = false;
  }

  /** Notes that the coordinator cannot store or cannot be reached; the journal is watched. */
  public void coordinatorUnsound() {
    unsound = true;
  }

  /** Notes that no process listens at the coordinator's address. */
  public void coordinatorRefused() {
    unsound = true;
    refused = true;
  }

  /** Notes that the announced instance is not the coordinator any more. */
  public void coordinatorGone() {
    vacant = true;
  }

  /**
   * Notes that another instance has claimed the role just now. It needs some time to load the
   * records, in which it must not be replaced by one that came second.
   */
  public void claimLost(long nowMillis) {
    coordinatorSound(nowMillis);
  }

  /** Takes an announcement. */
  public void announced(Leadership leadership, long nowMillis) {
    vacant = leadership.vacant();
    observedEnd = OptionalLong.empty();
    unsound = false;
    refused = false;
    if (!vacant) {
      lastSoundAtMillis = OptionalLong.of(nowMillis);
    }
  }

  /** Returns whether the journal's end should be observed now. */
  public boolean wantsObservation(long nowMillis) {
    return vacant
        || unsound
        || !ElapsedTime.within(lastSoundAtMillis, nowMillis, silenceMillis - 1);
  }

  /** Takes the journal's end as it was at some time between the two given ones. */
  public void observed(long end, long askedAtMillis, long answeredAtMillis) {
    observationMillis = answeredAtMillis - askedAtMillis;
    if (observedEnd.isEmpty() || end != observedEnd.getAsLong()) {
      observedEnd = OptionalLong.of(end);
      unchangedSinceMillis = answeredAtMillis;
    }
  }

  /**
   * Returns the end at which the journal may be claimed, if it may.
   *
   * <p>A store that answers slowly delays the appends of a coordinator that works, so the time of
   * an observation is added twice.
   *
   * @param delayMillis delay of this instance, which keeps instances from claiming together
   */
  public OptionalLong claimableEnd(long nowMillis, long delayMillis) {
    if (observedEnd.isEmpty() || !wantsObservation(nowMillis)) {
      return OptionalLong.empty();
    }
    long unchangedForMillis = refused ? REFUSED_MILLIS : ABANDONED_MILLIS;
    long abandonedMillis = vacant ? 0 : unchangedForMillis + 2 * observationMillis;
    long unchangedMillis = nowMillis - unchangedSinceMillis;
    return unchangedMillis >= abandonedMillis + delayMillis ? observedEnd : OptionalLong.empty();
  }
}
