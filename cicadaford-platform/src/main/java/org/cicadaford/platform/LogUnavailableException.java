package org.cicadaford.platform;

/** Signals that the log was unreachable or refused a request; nothing was appended. */
public final class LogUnavailableException extends PlatformException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message that names the failed operation and the remedy. */
  public LogUnavailableException(String message, Throwable cause) {
    super(message, cause);
  }
}
