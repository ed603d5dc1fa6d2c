package org.cicadaford.platform;

/** Signals that the log no longer keeps the records asked for. */
public final class OffsetExpiredException extends PlatformException {

  private static final long serialVersionUID = 1L;

  private final long earliestOffset;

  /** Creates the exception for a stream whose first kept record is at {@code earliestOffset}. */
  public OffsetExpiredException(String stream, long askedOffset, long earliestOffset) {
    super(
        "stream "
            + stream
            + " no longer keeps offset "
            + askedOffset
            + "; read from the first kept offset "
            + earliestOffset
            + ", where a snapshot stands",
        null);
    this.earliestOffset = earliestOffset;
  }

  /** Returns the offset of the first record that the stream still keeps. */
  public long earliestOffset() {
    return earliestOffset;
  }
}
