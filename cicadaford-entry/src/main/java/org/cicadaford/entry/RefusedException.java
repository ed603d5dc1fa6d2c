package org.cicadaford.entry;

/** Signals that a request is refused. */
public final class RefusedException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient Refusal refusal;

  /** Creates the exception with the detail of the refusal as message. */
  public RefusedException(Refusal refusal) {
    super(refusal.detail(), null, false, false);
    this.refusal = refusal;
  }

  /** Returns the refusal. */
  public Refusal refusal() {
    return refusal;
  }
}
