package org.cicadaford.entry.stream;

/** How an append to the log ended. */
public sealed interface AppendResult {

  /**
   * The record was appended; whether it took effect is decided when it is read back.
   *
   * @param offset its offset
   */
  record Appended(long offset) implements AppendResult {}

  /**
   * The record was certainly not appended and will not be.
   *
   * @param cause why
   * @param detail what happened, for the log
   */
  record NotAppended(Cause cause, String detail) implements AppendResult {

    /** Reasons for which a record is not appended. */
    public enum Cause {
      /** The log did not take the record. */
      LOG_UNAVAILABLE,
      /** Too many records wait to be appended. */
      OVERLOADED,
      /** This process is stopping. */
      STOPPING
    }
  }

  /**
   * The answer was lost; the record shows up in the stream if it was appended.
   *
   * @param detail what happened, for the log
   */
  record Unknown(String detail) implements AppendResult {}
}
