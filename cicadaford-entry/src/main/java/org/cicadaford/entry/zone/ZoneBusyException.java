package org.cicadaford.entry.zone;

/** Signals that a query of the zone state was refused because the event queue is full. */
public final class ZoneBusyException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public ZoneBusyException() {
    super("too many events of the zone are queued; retry in a second");
  }
}
