package org.cicadaford.decision.call;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the calls in flight to each endpoint and limits them to this instance's share of its
 * slots.
 *
 * <p>The entry instances of a zone share the slots of the zone's endpoints evenly, without
 * coordination. An endpoint of another zone is shared by all entry instances. Each instance has at
 * least one slot; an endpoint that therefore gets more calls than it has slots refuses them before
 * they start. Not thread-safe.
 */
public final class EndpointSlotTracker {

  /** Number of calls that an endpoint runs concurrently. */
  public static final int SLOTS_PER_ENDPOINT = 8;

  /** Number of connections that an endpoint accepts; each call in flight uses one. */
  public static final int CONNECTIONS_PER_ENDPOINT = 64;

  private final String ownZone;
  private final Map<String, Integer> inFlightByEndpoint = new HashMap<>();
  private int entryCountInZone = 1;
  private int entryCountInAll = 1;

  /** Creates a tracker for an entry instance in {@code ownZone}. */
  public EndpointSlotTracker(String ownZone) {
    this.ownZone = ownZone;
  }

  /** Updates the number of live entry instances, including this one. */
  public void updateEntryCounts(int inZone, int inAll) {
    entryCountInZone = Math.max(1, inZone);
    entryCountInAll = Math.max(entryCountInZone, inAll);
  }

  /** Returns this instance's share of the slots of an endpoint in {@code zone}. */
  public int slotLimit(String zone) {
    int entryCount = zone.equals(ownZone) ? entryCountInZone : entryCountInAll;
    int slots = Math.min(SLOTS_PER_ENDPOINT, CONNECTIONS_PER_ENDPOINT);
    return Math.max(1, slots / entryCount);
  }

  /** Returns the number of calls in flight to an endpoint. */
  public int inFlight(String endpointId) {
    return inFlightByEndpoint.getOrDefault(endpointId, 0);
  }

  /** Returns whether another call may be sent to an endpoint. */
  public boolean hasFree(ListedEndpoint endpoint) {
    return inFlight(endpoint.endpointId()) < slotLimit(endpoint.zone());
  }

  /** Counts a call that is sent. */
  public void acquire(String endpointId) {
    inFlightByEndpoint.merge(endpointId, 1, Integer::sum);
  }

  /** Counts the end of a call. */
  public void release(String endpointId) {
    inFlightByEndpoint.computeIfPresent(
        endpointId, (id, count) -> count == 1 ? null : Integer.valueOf(count - 1));
  }
}
