package org.cicadaford.platform;

/**
 * Signals that an append has an unknown outcome: it may have been stored, but no valid answer
 * arrived.
 */
public final class LogOutcomeUnknownException extends PlatformException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message that names the failed operation and the remedy. */
  public LogOutcomeUnknownException(String message, Throwable cause) {
    super(message, cause);
  }
}
