package org.cicadaford.entry;

import com.fasterxml.uuid.Generators;
import com.fasterxml.uuid.impl.TimeBasedEpochGenerator;
import java.util.Locale;
import org.cicadaford.decision.RequestIdParser;
import org.cicadaford.decision.RequestLedger;
import org.cicadaford.model.RunOutcome;

/** Makes and checks request ids, which are UUIDs of version 7 and carry their creation time. */
public final class RequestIdIssuer {

  private static final TimeBasedEpochGenerator GENERATOR = Generators.timeBasedEpochGenerator();

  private RequestIdIssuer() {}

  /** Returns a new id. */
  public static String generate() {
    return GENERATOR.generate().toString();
  }

  /**
   * Returns the id in its usual form.
   *
   * @throws RefusedException if it is not a UUID of version 7, or is outside the window in which
   *     repetitions are recognised
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
                  + " minutes, so whether it ran is no longer known; check the effect of the"
                  + " request, then send it with a new id",
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
