package org.cicadaford.cli.internal.entry;

import java.security.SecureRandom;
import java.util.UUID;

/** Generates request ids: UUIDs of version 7, which carry their creation time. */
public final class RequestIds {

  private static final long VERSION_7 = 0x7000L;
  private static final long VARIANT = 0x8000_0000_0000_0000L;
  private static final long RANDOM_A_MASK = 0x0fffL;
  private static final long RANDOM_B_MASK = 0x3fff_ffff_ffff_ffffL;

  private RequestIds() {}

  /** Returns a new id created at {@code nowMillis}. */
  public static String generate(long nowMillis, SecureRandom random) {
    long high = nowMillis << 16 | VERSION_7 | random.nextLong() & RANDOM_A_MASK;
    long low = VARIANT | random.nextLong() & RANDOM_B_MASK;
    return new UUID(high, low).toString();
  }
}
