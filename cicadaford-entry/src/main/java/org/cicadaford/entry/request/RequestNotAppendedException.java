package org.cicadaford.entry.request;

import org.cicadaford.entry.stream.AppendResult.NotAppended;

/** Signals that a request record was definitely not appended. */
public final class RequestNotAppendedException extends Exception {

  private static final long serialVersionUID = 1L;

  private final NotAppended.Cause reason;

  /** Creates the exception for a record that was refused for {@code reason}. */
  public RequestNotAppendedException(NotAppended.Cause reason, String detail) {
    super(detail + "; nothing was recorded, retry later");
    this.reason = reason;
  }

  /** Returns why the record was not appended. */
  public NotAppended.Cause reason() {
    return reason;
  }
}
