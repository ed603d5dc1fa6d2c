package org.cicadaford.cli.internal.entry;

/** Signals that an entry daemon gave no answer. */
public final class EntryFailureException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean maybeSent;

  /**
   * Creates the exception; {@code maybeSent} says whether the daemon may have received the request.
   */
  public EntryFailureException(boolean maybeSent, String message, Throwable cause) {
    super(message, cause);
    this.maybeSent = maybeSent;
  }

  /** Returns whether the daemon may have received the request. */
  public boolean maybeSent() {
    return maybeSent;
  }
}
