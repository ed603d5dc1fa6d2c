package org.cicadaford.cell.gang;

/**
 * A change of the reservations of a gang.
 *
 * @param gangId name of the gang
 * @param kind what has changed
 * @param startInMillis expected start as time from now, in milliseconds
 * @param lostCount number of times that the gang has lost its reservations
 * @param workerCount number of workers with a reservation
 */
public record HoldEvent(
    String gangId, Kind kind, long startInMillis, int lostCount, int workerCount) {

  /** Kinds of changes. */
  public enum Kind {
    /** The gang reserves capacity. */
    RESERVED,
    /** The gang has not started in time and loses its reservations for a time. */
    EXPIRED,
    /** The gang fits at no time any more, so it reserves nothing. */
    NO_EXPECTED_START
  }
}
