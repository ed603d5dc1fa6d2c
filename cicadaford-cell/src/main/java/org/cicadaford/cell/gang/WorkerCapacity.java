package org.cicadaford.cell.gang;

import java.util.List;
import org.cicadaford.model.Resources;

/**
 * Free capacity of a worker, and when more becomes free.
 *
 * @param workerId id of the worker
 * @param free capacity that is free now
 * @param releases expected ends of its runs; runs without an expected end are left out
 */
public record WorkerCapacity(String workerId, Resources free, List<Release> releases) {

  /**
   * Capacity that becomes free.
   *
   * @param atMillis expected time, in milliseconds
   * @param amount capacity that becomes free then
   */
  public record Release(long atMillis, Resources amount) {}
}
