package org.cicadaford.decision;

import org.cicadaford.model.Resources;

/**
 * A worker as the platform's list shows it.
 *
 * @param workerId instance
 * @param rack rack that it is in
 * @param capacity what it offers
 * @param leaving whether it is about to leave
 */
public record ListedWorker(String workerId, String rack, Resources capacity, boolean leaving) {

  ListedWorker asLeaving() {
    return new ListedWorker(workerId, rack, capacity, true);
  }
}
