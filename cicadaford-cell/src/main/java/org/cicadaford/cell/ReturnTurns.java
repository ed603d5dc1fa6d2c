package org.cicadaford.cell;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Times at which refused callers of one team may come back, one after the other.
 *
 * <p>The turns are as far apart as the team's limit takes for the work, beside the work that the
 * team is owed. A caller that comes back at its turn is accepted, and work that was not refused
 * before waits until the last turn has passed, so the time that a caller was told holds.
 */
final class ReturnTurns {

  /** Time after its turn for which a caller is expected, in milliseconds. */
  private static final long EXPECTED_MILLIS = 3_000;

  /** Time before its turn from which a caller is accepted: answers round up to whole seconds. */
  private static final long EARLY_MILLIS = 100;

  /** Most turns that are kept; callers beyond them are judged anew when they come back. */
  private static final int MAX_TURNS = 3_000;

  /** Time over which the work that the team is owed is averaged, in milliseconds. */
  private static final double AVERAGING_MILLIS = 2_000;

  /** Least part of the limit that is taken as left by the work that the team is owed. */
  private static final double LEAST_SPARE_PART = 0.1;

  private final Map<String, Long> turnByJob = new LinkedHashMap<>();
  private long lastTurnMillis;
  private double owedMillis;
  private long owedAtMillis;

  /** Notes work that the team is owed, as the time that its limit takes for it. */
  void owedWork(long workMillis, long nowMillis) {
    owedMillis = owedAt(nowMillis) + workMillis;
    owedAtMillis = nowMillis;
  }

  private double owedAt(long nowMillis) {
    return owedMillis * Math.exp((owedAtMillis - nowMillis) / AVERAGING_MILLIS);
  }

  /** Gives a refused caller a turn; returns the time until it. */
  long add(String jobId, long workMillis, long leastMillis, long nowMillis) {
    double sparePart = Math.max(LEAST_SPARE_PART, 1 - owedAt(nowMillis) / AVERAGING_MILLIS);
    long spacingMillis = Math.round(workMillis / sparePart);
    lastTurnMillis = Math.max(lastTurnMillis + spacingMillis, nowMillis + leastMillis);
    forgetLapsed(nowMillis);
    if (turnByJob.size() < MAX_TURNS) {
      turnByJob.put(jobId, lastTurnMillis);
    }
    return lastTurnMillis - nowMillis;
  }

  private void forgetLapsed(long nowMillis) {
    Iterator<Long> turns = turnByJob.values().iterator();
    while (turns.hasNext() && turns.next() + EXPECTED_MILLIS < nowMillis) {
      turns.remove();
    }
  }

  /** Takes the turn of a caller that has come back; returns whether it had one that has come. */
  boolean take(String jobId, long nowMillis) {
    Long turn = turnByJob.get(jobId);
    if (turn == null || turn - EARLY_MILLIS > nowMillis) {
      return false;
    }
    turnByJob.remove(jobId);
    return turn + EXPECTED_MILLIS >= nowMillis;
  }

  /** Returns whether callers are expected back. */
  boolean anyAhead(long nowMillis) {
    return nowMillis < lastTurnMillis;
  }
}
