package org.cicadaford.cell;

/** Signals a job description that can never run as submitted. */
public final class InvalidJobException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message that states the problem and how to correct it. */
  public InvalidJobException(String message) {
    super(message);
  }
}
