package org.cicadaford.model;

/**
 * Holds amounts of the resources that tasks reserve and workers offer.
 *
 * @param processorsMillicores processor time in thousandths of a core
 * @param memoryMebibytes memory in mebibytes
 * @param acceleratorCount number of whole accelerators
 */
public record Resources(long processorsMillicores, long memoryMebibytes, int acceleratorCount) {

  /** Zero of each resource. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Returns the sum of these amounts and {@code other}. */
  public Resources plus(Resources other) {
    return new Resources(
        processorsMillicores + other.processorsMillicores,
        memoryMebibytes + other.memoryMebibytes,
        acceleratorCount + other.acceleratorCount);
  }

  /** Returns the difference of these amounts and {@code other}, which may be negative. */
  public Resources minus(Resources other) {
    return new Resources(
        processorsMillicores - other.processorsMillicores,
        memoryMebibytes - other.memoryMebibytes,
        acceleratorCount - other.acceleratorCount);
  }

  /** Returns these amounts multiplied by {@code factor}. */
  public Resources times(int factor) {
    return new Resources(
        processorsMillicores * factor, memoryMebibytes * factor, acceleratorCount * factor);
  }

  /** Returns whether no amount exceeds that of {@code capacity}. */
  public boolean fitsIn(Resources capacity) {
    return processorsMillicores <= capacity.processorsMillicores
        && memoryMebibytes <= capacity.memoryMebibytes
        && acceleratorCount <= capacity.acceleratorCount;
  }

  /** Returns the dominant share: the largest fraction that any amount has of {@code total}. */
  public double dominantShareOf(Resources total) {
    double share = fraction(processorsMillicores, total.processorsMillicores);
    share = Math.max(share, fraction(memoryMebibytes, total.memoryMebibytes));
    return Math.max(share, fraction(acceleratorCount, total.acceleratorCount));
  }

  private static double fraction(long part, long whole) {
    return whole <= 0 ? 0 : (double) part / whole;
  }
}
