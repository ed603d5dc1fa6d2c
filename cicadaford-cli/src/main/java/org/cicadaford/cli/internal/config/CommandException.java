package org.cicadaford.cli.internal.config;

import org.cicadaford.cli.ExitCode;

/** Signals that a command did not do what it was asked; the message names the remedy. */
public final class CommandException extends Exception {

  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  /** Creates the exception with the status that the process ends with. */
  public CommandException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /** Creates the exception with the status that the process ends with and its cause. */
  public CommandException(ExitCode exitCode, String message, Throwable cause) {
    super(message, cause);
    this.exitCode = exitCode;
  }

  /** Returns the status that the process ends with. */
  public ExitCode exitCode() {
    return exitCode;
  }
}
