package org.cicadaford.platform;

/** Signals that the log did not take or answer a request; nothing was appended. */
public final class LogUnavailableException extends PlatformException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message that names what was asked and the remedy. */
  public LogUnavailableException(String message, Throwable cause) {
    super(message, cause);
  }
}
