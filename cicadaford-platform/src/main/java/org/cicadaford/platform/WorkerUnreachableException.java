package org.cicadaford.platform;

/** Signals that a worker gave no valid answer; it may have executed the command. */
public final class WorkerUnreachableException extends PlatformException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message that names the failed operation and the remedy. */
  public WorkerUnreachableException(String message, Throwable cause) {
    super(message, cause);
  }
}
