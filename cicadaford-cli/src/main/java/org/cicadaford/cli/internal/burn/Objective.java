package org.cicadaford.cli.internal.burn;

import java.util.List;

/**
 * Defines a service-level objective: at least the fraction {@code target} of events is good.
 *
 * @param name short name
 * @param meaning description of the objective
 * @param target required fraction of good events, between 0 and 1
 * @param countsBad whether {@code counted} selects bad events rather than good ones
 * @param counted counters of good events, or of bad ones
 * @param total counters of all events
 */
public record Objective(
    String name,
    String meaning,
    double target,
    boolean countsBad,
    List<MetricSelector> counted,
    List<MetricSelector> total) {

  /** Returns a copy of this objective with another target. */
  public Objective withTarget(double newTarget) {
    return new Objective(name, meaning, newTarget, countsBad, counted, total);
  }
}
