package org.cicadaford.daemon.http;

import org.cicadaford.entry.Refusal;
import org.cicadaford.entry.RefusalKind;
import org.cicadaford.entry.RefusedException;
import org.cicadaford.entry.RequestIdIssuer;

/** Names the request headers and parses their values. */
final class RequestHeaders {

  static final String KEY = "Cicadaford-Key";
  static final String REQUEST_ID = "Cicadaford-Request-Id";
  static final String DEADLINE = "Cicadaford-Deadline-Millis";
  static final String REPEATABLE = "Cicadaford-Repeatable";

  private static final long MAX_DEADLINE_MILLIS = 3_600_000;

  private RequestHeaders() {}

  /** Returns the value of the request id header, or a new id if it is absent or empty. */
  static String requestId(String headerValue) {
    return headerValue == null || headerValue.isEmpty() ? RequestIdIssuer.generate() : headerValue;
  }

  /**
   * Returns the value of the deadline header, or the default if it is absent.
   *
   * @throws RefusedException if the value is not a number within its range
   */
  static long deadlineMillis(String headerValue, long defaultMillis) throws RefusedException {
    if (headerValue == null) {
      return defaultMillis;
    }
    try {
      long deadlineMillis = Long.parseLong(headerValue.trim());
      if (deadlineMillis >= 1 && deadlineMillis <= MAX_DEADLINE_MILLIS) {
        return deadlineMillis;
      }
    } catch (NumberFormatException e) {
      throw malformed(DEADLINE, "a number of milliseconds from 1 to " + MAX_DEADLINE_MILLIS);
    }
    throw malformed(DEADLINE, "a number of milliseconds from 1 to " + MAX_DEADLINE_MILLIS);
  }

  /**
   * Returns whether the call may be executed more than once.
   *
   * @throws RefusedException if the header is neither true nor false
   */
  static boolean repeatable(String headerValue) throws RefusedException {
    if (headerValue == null || headerValue.equals("false")) {
      return false;
    }
    if (headerValue.equals("true")) {
      return true;
    }
    throw malformed(REPEATABLE, "true or false");
  }

  private static RefusedException malformed(String header, String expected) {
    return new RefusedException(
        Refusal.notRun(RefusalKind.MALFORMED_REQUEST, "header " + header + " must be " + expected));
  }
}
