package org.cicadaford.entry;

import com.fasterxml.uuid.Generators;
import com.fasterxml.uuid.impl.TimeBasedEpochGenerator;
import java.util.UUID;
import org.cicadaford.decision.RequestLedger;
import org.cicadaford.model.RunOutcome;

/** Makes and checks request ids, which are UUIDs of version 7 and carry their creation time. */
public final class RequestIds {

  private static final TimeBasedEpochGenerator GENERATOR = Generators.timeBasedEpochGenerator();

  private RequestIds() {}

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
  public static String check(String requestId, long nowMillis) throws RefusedException {
    UUID id = parse(requestId);
    long createdAtMillis = id.getMostSignificantBits() >>> 16;
    if (!RequestLedger.isIdInWindow(createdAtMillis, nowMillis)) {
      throw new RefusedException(
          new Refusal(
              RefusalKind.REQUEST_ID_EXPIRED,
              "request id "
                  + id
                  + " was created outside the last "
                  + RequestLedger.ID_WINDOW_MILLIS / 60_000
                  + " minutes, so whether it ran is no longer known; check the effect of the"
                  + " request, then send it with a new id",
              RunOutcome.UNKNOWN,
              0));
    }
    return id.toString();
  }

  private static UUID parse(String requestId) throws RefusedException {
    try {
      UUID id = UUID.fromString(requestId);
      if (id.version() == 7) {
        return id;
      }
    } catch (IllegalArgumentException e) {
      throw malformed();
    }
    throw malformed();
  }

  private static RefusedException malformed() {
    return new RefusedException(
        Refusal.notRun(
            RefusalKind.MALFORMED_REQUEST,
            "the request id is not a UUID of version 7; send one in the header"
                + " Cicadaford-Request-Id, or leave the header out"));
  }
}
