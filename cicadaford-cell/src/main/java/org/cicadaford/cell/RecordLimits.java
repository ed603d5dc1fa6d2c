package org.cicadaford.cell;

import java.nio.charset.StandardCharsets;

/** Limits of the store on the records of the journal, and the sizes that count against them. */
public final class RecordLimits {

  /** Maximum size of a record with its key, in bytes; defined by the platform. */
  public static final int MAX_RECORD_BYTES = 262_144;

  /** Maximum size of all records of an append, in bytes; defined by the platform. */
  public static final int MAX_CALL_BYTES = 2_097_152;

  /** Size of the lengths of a record and of its key, in bytes. */
  private static final int LENGTHS_BYTES = 5;

  private RecordLimits() {}

  /** Returns the size of a record that counts against {@link #MAX_CALL_BYTES}. */
  public static int sizeOf(RecordWrite write) {
    return LENGTHS_BYTES
        + write.key().getBytes(StandardCharsets.UTF_8).length
        + write.value().length;
  }

  /** Returns whether a record is too large for the store to accept it. */
  public static boolean isTooLarge(RecordWrite write) {
    // The length of the record itself does not count against its limit.
    return sizeOf(write) - (LENGTHS_BYTES - 1) > MAX_RECORD_BYTES;
  }
}
