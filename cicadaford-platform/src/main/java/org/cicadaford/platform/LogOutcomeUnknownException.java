package org.cicadaford.platform;

/** Signals that the answer to an append was lost, so that it may have taken effect. */
public final class LogOutcomeUnknownException extends PlatformException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message that names what was asked and the remedy. */
  public LogOutcomeUnknownException(String message, Throwable cause) {
    super(message, cause);
  }
}
