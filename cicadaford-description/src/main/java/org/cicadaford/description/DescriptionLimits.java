package org.cicadaford.description;

/**
 * States what is known of the cell and bounds what a description can ask for.
 *
 * @param maxRacksPerZone largest number of racks in one availability zone
 */
public record DescriptionLimits(int maxRacksPerZone) {

  /** Bounds for 530 workers in a zone in racks of at least 6, rounded up. */
  public static final DescriptionLimits DEFAULT = new DescriptionLimits(90);
}
