package org.cicadaford.platform;

/** Signals that an endpoint gave no answer to a call. */
public final class EndpointException extends PlatformException {

  /** Tells whether the endpoint ran the call. */
  public enum Kind {
    /** The endpoint certainly did not start the call: it refused it, or no connection was made. */
    NOT_STARTED,
    /** The call was sent and no answer came. */
    OUTCOME_UNKNOWN
  }

  private static final long serialVersionUID = 1L;

  private final Kind kind;

  /** Creates the exception with a message that names the endpoint and the remedy. */
  public EndpointException(Kind kind, String message, Throwable cause) {
    super(message, cause);
    this.kind = kind;
  }

  /** Returns whether the call may have run. */
  public Kind kind() {
    return kind;
  }
}
