package org.cicadaford.platform;

/**
 * Appends to and reads from the platform's log.
 *
 * <p>{@code docs/platform.md} lists the assumptions about the platform.
 */
public interface LogService {

  /**
   * Appends one record and returns its offset. Offsets of a stream increase by one and are never
   * reused.
   *
   * @throws LogUnavailableException if the record was definitely not appended
   * @throws LogOutcomeUnknownException if the record may have been appended; to find out, read the
   *     stream for the record id
   */
  long append(String stream, byte[] content)
      throws LogUnavailableException, LogOutcomeUnknownException;

  /**
   * Reads records starting at {@code fromOffset}, waiting up to {@code waitMillis} for the first.
   *
   * <p>An empty page confirms that {@code fromOffset} was the end of the stream when the log
   * responded.
   *
   * @param maxBytes maximum size of the returned content, in bytes, except that one record is
   *     always returned if there is any
   * @throws LogUnavailableException if the log did not answer
   * @throws OffsetExpiredException if the record at {@code fromOffset} is no longer retained
   */
  LogPage read(String stream, long fromOffset, int maxBytes, long waitMillis)
      throws LogUnavailableException, OffsetExpiredException;
}
