package org.cicadaford.cell;

import java.util.List;
import java.util.OptionalLong;

/**
 * Tracks which run ends of one incarnation of a worker are processed, stored and acknowledged.
 *
 * <p>A worker numbers its ends from 1 in each incarnation. An acknowledgement that reaches a later
 * incarnation removes ends that nobody has read, so it is sent only while it is needed.
 */
final class EndAcknowledgements {

  private long processedEnd;
  private long storedEnd;
  private long forgottenEnd;
  private long lastSentEnd;
  private OptionalLong lastSentAtMillis = OptionalLong.empty();
  private OptionalLong deferredSinceMillis = OptionalLong.empty();
  private boolean withheld;

  /** Returns the number of the last run end that was processed. */
  long processedEnd() {
    return processedEnd;
  }

  void processed(long number) {
    processedEnd = number;
  }

  /** Records the number of the last run end whose effects are stored. */
  void stored(long number) {
    storedEnd = Math.max(storedEnd, number);
  }

  /** Returns whether the effects of processed ends are not stored yet. */
  boolean anyUnstored() {
    return storedEnd < processedEnd;
  }

  /**
   * Records the run ends that a report lists; the worker has forgotten those before. A report that
   * another one has overtaken is corrected by the next one.
   */
  void listed(List<ReportedEnd> ends) {
    forgottenEnd = ends.stream().mapToLong(ReportedEnd::number).min().orElse(processedEnd + 1) - 1;
  }

  /** Returns whether the worker still lists run ends whose effects are stored. */
  boolean due() {
    return storedEnd > forgottenEnd;
  }

  /** Records that all stored ends are acknowledged now; returns the number of the last one. */
  long acknowledge(long nowMillis) {
    lastSentEnd = storedEnd;
    lastSentAtMillis = OptionalLong.of(nowMillis);
    return storedEnd;
  }

  /** Returns the number of the last end that was acknowledged, 0 if there is none. */
  long lastSentEnd() {
    return lastSentEnd;
  }

  /** Returns the time since the last acknowledgement was sent, or -1 if there is none. */
  long lastSentAgeMillis(long nowMillis) {
    return lastSentAtMillis.isEmpty() ? -1 : nowMillis - lastSentAtMillis.getAsLong();
  }

  /** Returns whether the last renewal did not acknowledge ends although that was due. */
  boolean withheld() {
    return withheld;
  }

  void withheld(boolean lastWithheld) {
    withheld = lastWithheld;
  }

  /** Defers the acknowledgement; returns false if that has lasted {@code maxMillis}. */
  boolean defer(long nowMillis, long maxMillis) {
    if (deferredSinceMillis.isEmpty()) {
      deferredSinceMillis = OptionalLong.of(nowMillis);
    }
    return !deferredLongerThan(nowMillis, maxMillis);
  }

  void endDeferral() {
    deferredSinceMillis = OptionalLong.empty();
  }

  boolean deferredLongerThan(long nowMillis, long millis) {
    return ElapsedTime.isOlderThan(deferredSinceMillis, nowMillis, millis);
  }
}
