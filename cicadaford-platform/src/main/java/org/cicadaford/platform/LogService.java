package org.cicadaford.platform;

/**
 * Appends to and reads from the platform's log.
 *
 * <p>Assumptions about the platform are listed in {@code docs/platform.md}.
 */
public interface LogService {

  /**
   * Appends one record and returns its offset. Offsets of a stream grow by one and are never used
   * again.
   *
   * @throws LogUnavailableException if the record was certainly not appended
   * @throws LogOutcomeUnknownException if the record may have been appended; the writer finds out
   *     by reading the stream for its record id
   */
  long append(String stream, byte[] content)
      throws LogUnavailableException, LogOutcomeUnknownException;

  /**
   * Reads records from {@code fromOffset} on, waiting up to {@code waitMillis} for the first one.
   *
   * <p>An empty page is a confirmation that the reader was at the end of the stream when the log
   * answered.
   *
   * @param maxBytes upper bound on the content returned, in bytes; at least one record is returned
   * @throws LogUnavailableException if the log did not answer
   * @throws OffsetExpiredException if records from {@code fromOffset} on are no longer kept
   */
  LogPage read(String stream, long fromOffset, int maxBytes, long waitMillis)
      throws LogUnavailableException, OffsetExpiredException;
}
