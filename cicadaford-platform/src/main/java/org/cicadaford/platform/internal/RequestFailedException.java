package org.cicadaford.platform.internal;

/** Signals that a request got no whole answer. */
final class RequestFailedException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean sent;

  RequestFailedException(boolean sent, String message, Throwable cause) {
    super(message, cause);
    this.sent = sent;
  }

  /** Returns false only if not a byte of the request can have reached the server. */
  boolean mayHaveBeenSent() {
    return sent;
  }
}
