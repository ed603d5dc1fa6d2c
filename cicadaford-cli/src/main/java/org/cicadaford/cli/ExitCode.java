package org.cicadaford.cli;

/** Defines the exit codes of the command. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** The request was refused; nothing changed. */
  REFUSED(1),
  /** The command line is invalid; nothing was sent. */
  USAGE(2),
  /** The log or the entry daemon is unreachable; nothing changed. */
  UNREACHABLE(3),
  /** The answer was lost; the request may have taken effect. */
  OUTCOME_UNKNOWN(4);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the numeric exit code of the process. */
  public int number() {
    return number;
  }
}
