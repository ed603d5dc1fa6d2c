package org.cicadaford.cell;

/** Signals a job description that can never be run as it stands. */
public final class InvalidJobException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message that names the fault and its remedy. */
  public InvalidJobException(String message) {
    super(message);
  }
}
