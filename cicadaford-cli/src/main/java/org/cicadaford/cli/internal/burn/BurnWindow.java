package org.cicadaford.cli.internal.burn;

import java.util.List;

/**
 * Defines a time window before the report in which events are counted.
 *
 * @param name name in reports
 * @param millis length in milliseconds
 */
public record BurnWindow(String name, long millis) {

  /** Window in which an alert must still hold. */
  public static final BurnWindow MINUTES_5 = new BurnWindow("5min", 300_000);

  /** Window of the fast alert. */
  public static final BurnWindow HOUR_1 = new BurnWindow("1h", 3_600_000);

  /** Window in which the slow alert must still hold. */
  public static final BurnWindow HOURS_6 = new BurnWindow("6h", 21_600_000);

  /** Window of the slow alert. */
  public static final BurnWindow DAYS_3 = new BurnWindow("3d", 259_200_000);

  /** Period of the error budget. */
  public static final BurnWindow PERIOD = new BurnWindow("30d", 2_592_000_000L);

  /** All windows of the report. */
  public static final List<BurnWindow> ALL = List.of(MINUTES_5, HOUR_1, HOURS_6, DAYS_3);
}
