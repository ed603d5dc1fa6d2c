package org.cicadaford.platform;

/** Signals that an endpoint call failed without a complete, valid answer. */
public final class EndpointException extends PlatformException {

  /** States whether the endpoint may have executed the call. */
  public enum Kind {
    /** The endpoint refused the call or no connection was made, so it never started. */
    NOT_STARTED,
    /** The call may have been sent, but no valid answer arrived. */
    OUTCOME_UNKNOWN
  }

  private static final long serialVersionUID = 1L;

  private final Kind kind;

  /** Creates the exception with a message that names the endpoint and the remedy. */
  public EndpointException(Kind kind, String message, Throwable cause) {
    super(message, cause);
    this.kind = kind;
  }

  /** Returns whether the endpoint may have executed the call. */
  public Kind kind() {
    return kind;
  }
}
