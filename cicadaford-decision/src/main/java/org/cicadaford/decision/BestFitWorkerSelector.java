package org.cicadaford.decision;

import java.util.function.Predicate;
import org.cicadaford.model.Resources;

/**
 * Selects, among the workers with the least free processors, the one that would be left with the
 * most balanced free processors and memory. Scoring processors alone would leave workers with free
 * processors but no memory, or the reverse.
 */
final class BestFitWorkerSelector implements Predicate<WorkerSlot> {

  /** Number of workers compared; comparing more slows a decision down for little gain. */
  static final int MAX_CANDIDATES = Integer.getInteger("k", 16);

  static final double FREE_WEIGHT = Double.parseDouble(System.getProperty("lw", "0.5"));

  private final Resources size;
  private WorkerSlot best;
  private double bestScore = Double.MAX_VALUE;
  private int count;

  BestFitWorkerSelector(Resources size) {
    this.size = size;
  }

  @Override
  public boolean test(WorkerSlot slot) {
    double score = score(slot);
    if (score < bestScore) {
      bestScore = score;
      best = slot;
    }
    return ++count < MAX_CANDIDATES;
  }

  private double score(WorkerSlot slot) {
    Resources freeAfter = slot.free().minus(size);
    Resources capacity = slot.capacity();
    double processors =
        freeAfter.processorsMillicores() / (double) Math.max(1, capacity.processorsMillicores());
    double memory = freeAfter.memoryMebibytes() / (double) Math.max(1, capacity.memoryMebibytes());
    return Math.abs(processors - memory) + FREE_WEIGHT * (processors + memory);
  }

  /** Returns the best worker seen so far, or null. */
  WorkerSlot best() {
    return best;
  }
}
