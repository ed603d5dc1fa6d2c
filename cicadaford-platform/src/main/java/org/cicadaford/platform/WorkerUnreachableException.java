package org.cicadaford.platform;

/** Signals that a worker did not answer; the command may have taken effect. */
public final class WorkerUnreachableException extends PlatformException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message that names what was asked and the remedy. */
  public WorkerUnreachableException(String message, Throwable cause) {
    super(message, cause);
  }
}
