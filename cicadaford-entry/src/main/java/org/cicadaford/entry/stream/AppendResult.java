package org.cicadaford.entry.stream;

/** Outcome of an append to the log. */
public sealed interface AppendResult {

  /**
   * The record was appended; whether it takes effect is known once it is read back.
   *
   * @param offset offset of the record
   */
  record Appended(long offset) implements AppendResult {}

  /**
   * The record was certainly not appended and will not be.
   *
   * @param cause reason
   * @param detail error message
   */
  record NotAppended(Cause cause, String detail) implements AppendResult {

    /** Reasons why a record was not appended. */
    public enum Cause {
      /** The log did not accept the record. */
      LOG_UNAVAILABLE,
      /** The queue of records is full or too slow. */
      OVERLOADED,
      /** This process is stopping. */
      STOPPING
    }
  }

  /**
   * The response was lost; the record appears in the stream if it was appended.
   *
   * @param detail error message
   */
  record Unknown(String detail) implements AppendResult {}
}
