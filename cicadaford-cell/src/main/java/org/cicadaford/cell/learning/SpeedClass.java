package org.cicadaford.cell.learning;

/** Classes of the speed of a worker, the fastest first. */
public enum SpeedClass {
  /** Significantly faster than the workers that it shared steps with. */
  FAST,
  /** Not significantly different, or not known. */
  NORMAL,
  /** Significantly slower, by the order of a third. */
  SLOW,
  /** Currently slower by a large factor, which usually lasts for seconds. */
  VERY_SLOW
}
