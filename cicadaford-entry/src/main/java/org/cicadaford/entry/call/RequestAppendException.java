package org.cicadaford.entry.call;

/** Signals that an appended request record was not read back. */
public final class RequestAppendException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean mayTakeEffect;

  /**
   * Creates the exception.
   *
   * @param mayTakeEffect whether the record may have been appended or may still be appended
   */
  public RequestAppendException(boolean mayTakeEffect, String message, Throwable cause) {
    super(message, cause);
    this.mayTakeEffect = mayTakeEffect;
  }

  /** Returns whether the record may still take effect. */
  public boolean mayTakeEffect() {
    return mayTakeEffect;
  }
}
