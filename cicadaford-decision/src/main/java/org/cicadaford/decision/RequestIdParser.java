package org.cicadaford.decision;

import java.util.OptionalLong;
import java.util.UUID;

/** Parses request ids, which are version 7 UUIDs and contain their creation time. */
public final class RequestIdParser {

  private static final int TEXT_LENGTH = 36;
  private static final int TIME_BASED_VERSION = 7;
  private static final int BITS_BELOW_TIME = 16;

  private RequestIdParser() {}

  /** Returns the creation time in milliseconds, or empty if the id is not a version 7 UUID. */
  public static OptionalLong createdAtMillis(String requestId) {
    if (requestId == null || requestId.length() != TEXT_LENGTH) {
      return OptionalLong.empty();
    }
    try {
      UUID id = UUID.fromString(requestId);
      return id.version() == TIME_BASED_VERSION
          ? OptionalLong.of(id.getMostSignificantBits() >>> BITS_BELOW_TIME)
          : OptionalLong.empty();
    } catch (IllegalArgumentException e) {
      return OptionalLong.empty();
    }
  }
}
