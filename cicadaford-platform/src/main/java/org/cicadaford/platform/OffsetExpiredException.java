package org.cicadaford.platform;

/** Signals that the requested records are past the log's retention. */
public final class OffsetExpiredException extends PlatformException {

  private static final long serialVersionUID = 1L;

  private final long earliestOffset;

  /**
   * Creates the exception for a stream whose earliest retained record is at {@code earliestOffset}.
   */
  public OffsetExpiredException(String stream, long requestedOffset, long earliestOffset) {
    super(
        "stream "
            + stream
            + " no longer retains offset "
            + requestedOffset
            + "; read from the earliest retained offset "
            + earliestOffset
            + ", which holds a snapshot",
        null);
    this.earliestOffset = earliestOffset;
  }

  /** Returns the offset of the earliest record that the stream retains. */
  public long earliestOffset() {
    return earliestOffset;
  }
}
