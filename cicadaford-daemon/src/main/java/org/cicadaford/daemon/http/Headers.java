package org.cicadaford.daemon.http;

import org.cicadaford.entry.Refusal;
import org.cicadaford.entry.RefusalKind;
import org.cicadaford.entry.RefusedException;
import org.cicadaford.entry.RequestIdIssuer;

/** Headers of requests. */
final class Headers {

  static final String KEY = "Cicadaford-Key";
  static final String REQUEST_ID = "Cicadaford-Request-Id";
  static final String DEADLINE = "Cicadaford-Deadline-Millis";
  static final String REPEATABLE = "Cicadaford-Repeatable";

  private static final long MAX_DEADLINE_MILLIS = 3_600_000;

  private Headers() {}

  /** Returns the request id as given, or a new one if there is none. */
  static String requestId(String given) {
    return given == null || given.isEmpty() ? RequestIdIssuer.generate() : given;
  }

  /**
   * Returns the deadline, or the default if there is none.
   *
   * @throws RefusedException if it is not a number in its range
   */
  static long deadlineMillis(String given, long defaultMillis) throws RefusedException {
    if (given == null) {
      return defaultMillis;
    }
    try {
      long deadlineMillis = Long.parseLong(given.trim());
      if (deadlineMillis >= 1 && deadlineMillis <= MAX_DEADLINE_MILLIS) {
        return deadlineMillis;
      }
    } catch (NumberFormatException e) {
      throw malformed(DEADLINE, "a number of milliseconds from 1 to " + MAX_DEADLINE_MILLIS);
    }
    throw malformed(DEADLINE, "a number of milliseconds from 1 to " + MAX_DEADLINE_MILLIS);
  }

  /**
   * Returns whether the call may be run more than once.
   *
   * @throws RefusedException if the header is neither true nor false
   */
  static boolean repeatable(String given) throws RefusedException {
    if (given == null || given.equals("false")) {
      return false;
    }
    if (given.equals("true")) {
      return true;
    }
    throw malformed(REPEATABLE, "true or false");
  }

  private static RefusedException malformed(String header, String expected) {
    return new RefusedException(
        Refusal.notRun(RefusalKind.MALFORMED_REQUEST, "header " + header + " must be " + expected));
  }
}
