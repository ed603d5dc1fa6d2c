package org.cicadaford.decision.call;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the calls in flight to each endpoint and bounds them by this instance's part of its slots.
 *
 * <p>The entry instances of a zone share the slots of the zone's endpoints evenly, without talking
 * to each other. An endpoint of another zone is shared by all entry instances. Each has at least
 * one slot; an endpoint that thereby gets more calls than it has slots refuses them before they
 * start. Not safe for use by several threads.
 */
public final class EndpointSlotTracker {

  /** Calls that an endpoint runs at once. */
  public static final int SLOTS_PER_ENDPOINT = 8;

  /** Connections that an endpoint accepts; each call in flight uses one. */
  public static final int CONNECTIONS_PER_ENDPOINT = 64;

  private final String ownZone;
  private final Map<String, Integer> inFlightByEndpoint = new HashMap<>();
  private int entryCountInZone = 1;
  private int entryCountInAll = 1;

  /** Creates counts for an entry instance in {@code ownZone}. */
  public EndpointSlotTracker(String ownZone) {
    this.ownZone = ownZone;
  }

  /** Takes in the number of live entry instances, this one included. */
  public void updateEntryCounts(int inZone, int inAll) {
    entryCountInZone = Math.max(1, inZone);
    entryCountInAll = Math.max(entryCountInZone, inAll);
  }

  /** Returns this instance's part of the slots of an endpoint in {@code zone}. */
  public int shareOf(String zone) {
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
    return inFlight(endpoint.endpointId()) < shareOf(endpoint.zone());
  }

  /** Counts a call that is sent. */
  public void take(String endpointId) {
    inFlightByEndpoint.merge(endpointId, 1, Integer::sum);
  }

  /** Counts the end of a call. */
  public void release(String endpointId) {
    inFlightByEndpoint.computeIfPresent(
        endpointId, (id, count) -> count == 1 ? null : Integer.valueOf(count - 1));
  }
}
