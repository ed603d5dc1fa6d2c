package org.cicadaford.description;

/**
 * Holds the limits of the cell that job descriptions are checked against.
 *
 * @param maxRacksPerZone largest number of racks in one availability zone
 */
public record DescriptionLimits(int maxRacksPerZone) {

  /** Default limits: 530 workers in a zone, in racks of at least 6, rounded up to 90 racks. */
  public static final DescriptionLimits DEFAULT = new DescriptionLimits(90);
}
