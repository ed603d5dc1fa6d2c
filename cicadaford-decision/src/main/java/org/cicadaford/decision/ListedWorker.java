package org.cicadaford.decision;

import org.cicadaford.model.Resources;

/**
 * Describes a worker as the platform lists it.
 *
 * @param workerId id of the worker
 * @param rack rack of the worker
 * @param capacity total resources of the worker
 * @param leaving whether the worker is about to be removed
 */
public record ListedWorker(String workerId, String rack, Resources capacity, boolean leaving) {

  ListedWorker asLeaving() {
    return new ListedWorker(workerId, rack, capacity, true);
  }
}
