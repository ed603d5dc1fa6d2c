package org.cicadaford.cli.internal.burn;

import java.util.List;

/**
 * A service-level objective: at least the part {@code target} of all events is good.
 *
 * @param name short name
 * @param meaning what the objective asks for
 * @param target part of good events, between 0 and 1
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

  /** Returns this objective with another target. */
  public Objective withTarget(double newTarget) {
    return new Objective(name, meaning, newTarget, countsBad, counted, total);
  }
}
