package org.cicadaford.decision;

/** Selects how a worker is chosen among those with room for a task. */
public sealed interface PlacementPolicy {

  /**
   * Chooses the worker with the least free processors that has room, which keeps emptier workers
   * free for large tasks and gang jobs.
   */
  record BestFit() implements PlacementPolicy {}

  /** Chooses the first worker with room in the order of ids; a baseline for benchmarks. */
  record FirstFit() implements PlacementPolicy {}

  /**
   * Chooses the first worker with room, starting at a random position; a baseline for benchmarks.
   *
   * @param seed seed of the random positions
   */
  record RandomFit(long seed) implements PlacementPolicy {}
}
