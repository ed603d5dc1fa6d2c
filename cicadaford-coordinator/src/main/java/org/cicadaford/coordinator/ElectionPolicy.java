package org.cicadaford.coordinator;

/**
 * Decides when an instance claims the role of the cell coordinator.
 *
 * <p>The coordinator writes to the journal at least every {@link #JOURNAL_HEARTBEAT_MILLIS}. An
 * instance claims the journal only when it hears nothing sound from the coordinator and the journal
 * has not grown for a while, and only at the very end that it has seen; so an instance that is
 * merely cut off from a coordinator that works does not replace it.
 */
public final class ElectionPolicy {

  /** Longest time between two appends of the coordinator, in milliseconds. */
  public static final long JOURNAL_HEARTBEAT_MILLIS = 300;

  /** Time without a sound answer from the coordinator after which the journal is watched. */
  static final long SILENCE_MILLIS = 500;

  /** Time without growth after which the journal counts as abandoned, in milliseconds. */
  static final long ABANDONED_MILLIS = 800;

  private long observedEnd = -1;
  private long unchangedSinceMillis;
  private long lastSoundAtMillis = Long.MIN_VALUE / 2;
  private boolean vacant = true;

  /** Takes a sound answer of the coordinator. */
  public void coordinatorSound(long nowMillis) {
    lastSoundAtMillis = nowMillis;
    observedEnd = -1;
    vacant = false;
  }

  /** Takes an announcement. */
  public void announced(Leadership leadership, long nowMillis) {
    vacant = leadership.vacant();
    observedEnd = -1;
    if (!vacant) {
      lastSoundAtMillis = nowMillis;
    }
  }

  /** Returns whether the journal's end should be observed now. */
  public boolean wantsObservation(long nowMillis) {
    return vacant || nowMillis - lastSoundAtMillis >= SILENCE_MILLIS;
  }

  /** Takes the journal's end as it was at a time not before {@code askedAtMillis}. */
  public void observed(long end, long askedAtMillis) {
    if (end != observedEnd) {
      observedEnd = end;
      unchangedSinceMillis = askedAtMillis;
    }
  }

  /**
   * Returns the end at which the journal may be claimed, or -1.
   *
   * @param delayMillis delay of this instance, which keeps instances from claiming together
   */
  public long claimableEnd(long nowMillis, long delayMillis) {
    if (observedEnd < 0 || !wantsObservation(nowMillis)) {
      return -1;
    }
    long neededMillis = vacant ? delayMillis : ABANDONED_MILLIS + delayMillis;
    return nowMillis - unchangedSinceMillis >= neededMillis ? observedEnd : -1;
  }
}
