package org.cicadaford.decision;

/** How a worker is chosen among those with room for a task. */
public sealed interface PlacementPolicy {

  /**
   * Chooses the worker with the least free processors that has room. Keeps workers with much room
   * whole for large tasks and gang jobs.
   */
  record BestFit() implements PlacementPolicy {}

  /** Chooses the first worker with room in the order of ids; a baseline for benchmarks. */
  record FirstFit() implements PlacementPolicy {}

  /**
   * Chooses the first worker with room from a random position on; a baseline for benchmarks.
   *
   * @param seed seed of the positions
   */
  record RandomFit(long seed) implements PlacementPolicy {}
}
