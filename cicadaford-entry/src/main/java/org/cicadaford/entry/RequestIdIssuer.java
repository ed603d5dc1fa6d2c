package org.cicadaford.entry;

import com.fasterxml.uuid.Generators;
import com.fasterxml.uuid.impl.TimeBasedEpochGenerator;
import java.util.Locale;
import org.cicadaford.decision.RequestIdParser;
import org.cicadaford.decision.RequestLedger;
import org.cicadaford.model.RunOutcome;

/** Issues and validates request ids, which are UUIDs of version 7 with their creation time. */
public final class RequestIdIssuer {

  private static final TimeBasedEpochGenerator GENERATOR = Generators.timeBasedEpochGenerator();

  private RequestIdIssuer() {}

  /** Returns a new id. */
  public static String generate() {
    return GENERATOR.generate().toString();
  }

  /**
   * Validates an id and returns it in lower case.
   *
   * @throws RefusedException if it is not a UUID of version 7, or was created outside the window in
   *     which duplicates are detected
   */
  public static String validate(String requestId, long nowMillis) throws RefusedException {
    long createdAtMillis =
        RequestIdParser.createdAtMillis(requestId).orElseThrow(RequestIdIssuer::malformed);
    if (!RequestLedger.isIdInWindow(createdAtMillis, nowMillis)) {
      throw new RefusedException(
          new Refusal(
              RefusalKind.REQUEST_ID_EXPIRED,
              "request id "
                  + requestId
                  + " was created outside the last "
                  + RequestLedger.ID_WINDOW_MILLIS / 60_000
                  + " minutes, so it is unknown whether it was executed; check the effect of the"
                  + " request, then retry with a new id",
              RunOutcome.UNKNOWN,
              0));
    }
    return requestId.toLowerCase(Locale.ROOT);
  }

  private static RefusedException malformed() {
    return new RefusedException(
        Refusal.notRun(
            RefusalKind.MALFORMED_REQUEST,
            "the request id is not a UUID of version 7; send one in the header"
                + " Cicadaford-Request-Id, or leave the header out"));
  }
}
