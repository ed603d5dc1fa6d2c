package org.cicadaford.daemon;

/** Signals a missing or invalid setting. */
public final class InvalidSettingsException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message that names the setting and the remedy. */
  public InvalidSettingsException(String message) {
    super(message);
  }
}
