package org.cicadaford.cell;

import java.util.TreeSet;

/**
 * Steps in the order of {@link StepOrder}, which changes with time.
 *
 * <p>The order is made anew only now and then, so that taking the first step does not visit all of
 * them: after a takeover hundreds of steps wait, and a process that has just started has no time to
 * spare.
 */
final class StepQueue {

  /** Time for which an order is kept, in milliseconds; half of what urgent work can spare. */
  private static final long ORDER_MILLIS = 250;

  private TreeSet<StepRun> steps = new TreeSet<>(StepOrder.at(0));
  private long orderedAtUnixMillis;

  void add(StepRun step) {
    steps.add(step);
  }

  void remove(StepRun step) {
    steps.remove(step);
  }

  boolean isEmpty() {
    return steps.isEmpty();
  }

  /** Removes and returns the first step; there has to be one. */
  StepRun takeFirst(long unixMillis) {
    // A clock that was set back has the order made anew as well.
    if (Math.abs(unixMillis - orderedAtUnixMillis) >= ORDER_MILLIS) {
      orderedAtUnixMillis = unixMillis;
      TreeSet<StepRun> reordered = new TreeSet<>(StepOrder.at(unixMillis));
      reordered.addAll(steps);
      steps = reordered;
    }
    return steps.pollFirst();
  }
}
