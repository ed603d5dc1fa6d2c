package org.cicadaford.daemon;

/** Signals settings that the daemon cannot start with. */
public final class InvalidSettingsException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message that names the setting and the remedy. */
  public InvalidSettingsException(String message) {
    super(message);
  }
}
