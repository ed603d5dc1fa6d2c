package org.cicadaford.coordinator.http;

/** Signals that no complete response to a request arrived. */
public final class HttpRequestException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean mayBeReceived;

  /**
   * Creates the exception.
   *
   * @param mayBeReceived whether the server may have received the request
   */
  public HttpRequestException(String message, boolean mayBeReceived, Throwable cause) {
    super(message, cause);
    this.mayBeReceived = mayBeReceived;
  }

  boolean mayBeReceived() {
    return mayBeReceived;
  }

  /** Returns whether the server may have received a request that failed with this exception. */
  public static boolean mayHaveBeenSent(Throwable failure) {
    Throwable cause =
        failure instanceof java.util.concurrent.CompletionException ? failure.getCause() : failure;
    return !(cause instanceof HttpRequestException http) || http.mayBeReceived();
  }
}
