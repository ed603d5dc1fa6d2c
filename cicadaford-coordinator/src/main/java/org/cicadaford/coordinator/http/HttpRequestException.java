package org.cicadaford.coordinator.http;

/** Signals that a request got no whole answer. */
public final class HttpRequestException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean sent;

  /**
   * Creates the exception.
   *
   * @param sent whether the request may have been received
   */
  HttpRequestException(String message, boolean sent, Throwable cause) {
    super(message, cause);
    this.sent = sent;
  }

  boolean sent() {
    return sent;
  }

  /** Returns whether a request that failed in this way may have been received. */
  public static boolean mayHaveBeenSent(Throwable failure) {
    Throwable cause =
        failure instanceof java.util.concurrent.CompletionException ? failure.getCause() : failure;
    return !(cause instanceof HttpRequestException http) || http.sent();
  }
}
