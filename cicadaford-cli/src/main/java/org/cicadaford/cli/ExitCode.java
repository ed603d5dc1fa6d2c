package org.cicadaford.cli;

/** States how a command ended, for scripts. */
public enum ExitCode {
  /** The command did what it was asked. */
  OK(0),
  /** The request was refused; nothing changed. */
  REFUSED(1),
  /** The command line is wrong; nothing was asked. */
  USAGE(2),
  /** The log or the entry daemon was not reached; nothing changed. */
  UNREACHABLE(3),
  /** The answer was lost; the request may have taken effect. */
  OUTCOME_UNKNOWN(4);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the exit status of the process. */
  public int number() {
    return number;
  }
}
