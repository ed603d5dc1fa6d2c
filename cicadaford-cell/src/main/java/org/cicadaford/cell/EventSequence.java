package org.cicadaford.cell;

/**
 * Numbers the events of a coordinator in the order in which it processes them.
 *
 * <p>Times do not suffice to order an answer of a worker and a request to it: within a millisecond
 * a request may be sent, a run start on the worker, and the answer to its start order arrive.
 */
final class EventSequence {

  private long last;

  /** Returns the number of a new event. */
  long next() {
    return ++last;
  }

  /** Returns the number of the last event, or 0 if there was none. */
  long last() {
    return last;
  }
}
