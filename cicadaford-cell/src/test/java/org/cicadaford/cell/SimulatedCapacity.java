package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.List;
import org.cicadaford.model.Resources;

/** Simulates the capacity of a worker, which may change while the worker runs. */
final class SimulatedCapacity {

  /**
   * Time after which the rules count a capacity that has shrunk, in milliseconds: {@code
   * contact_ms} (3,000 ms) and one heartbeat of the worker (1,500 ms).
   */
  static final long SHRINK_GRACE_MILLIS = 4_500;

  /** Maximum time until the platform lists a change, in milliseconds: one heartbeat. */
  static final long HEARTBEAT_MILLIS = 1_500;

  /** A capacity that the worker had before, and the time until which the rules count it. */
  private record Former(Resources amount, long countedUntilMillis) {}

  private final List<Former> formers = new ArrayList<>();
  private Resources current;
  private Resources listed;

  SimulatedCapacity(Resources initial) {
    current = initial;
    listed = initial;
  }

  Resources current() {
    return current;
  }

  /** Returns the capacity that the platform lists. */
  Resources listed() {
    return listed;
  }

  /** Changes the capacity; the platform lists the earlier one until {@link #publish}. */
  void change(Resources amount, long nowMillis) {
    formers.add(new Former(current, nowMillis + SHRINK_GRACE_MILLIS));
    current = amount;
  }

  void publish() {
    listed = current;
  }

  /** Sets the capacity of a new life of the worker, for which no earlier one counts. */
  void reset(Resources amount) {
    formers.clear();
    current = amount;
    listed = amount;
  }

  /** Returns whether the rules allow an amount to be in use after a start. */
  boolean allows(Resources used, long nowMillis) {
    formers.removeIf(former -> former.countedUntilMillis() < nowMillis);
    return used.fitsIn(current)
        || formers.stream().anyMatch(former -> used.fitsIn(former.amount()));
  }
}
