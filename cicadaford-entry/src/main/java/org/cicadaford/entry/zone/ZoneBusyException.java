package org.cicadaford.entry.zone;

/** Signals that a question about the zone was refused because too many events wait. */
public final class ZoneBusyException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public ZoneBusyException() {
    super("too many events of the zone wait; ask again in a second");
  }
}
