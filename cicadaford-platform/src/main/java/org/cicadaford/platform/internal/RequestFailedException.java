package org.cicadaford.platform.internal;

/** Signals that a request got no complete response. */
final class RequestFailedException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean mayHaveBeenSent;

  RequestFailedException(boolean mayHaveBeenSent, String message, Throwable cause) {
    super(message, cause);
    this.mayHaveBeenSent = mayHaveBeenSent;
  }

  /** Returns false only if no byte of the request can have reached the server. */
  boolean mayHaveBeenSent() {
    return mayHaveBeenSent;
  }
}
