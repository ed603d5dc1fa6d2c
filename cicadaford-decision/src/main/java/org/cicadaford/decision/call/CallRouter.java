package org.cicadaford.decision.call;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the endpoint of one service that a call goes to.
 *
 * <p>Chooses the one with fewer calls in flight of two random endpoints and prefers endpoints of
 * the own zone. Leaving endpoints get no calls, and recently failed endpoints get one probe at a
 * time. Not thread-safe.
 */
public final class CallRouter {

  /** Retry delay for callers if no endpoint is listed, in milliseconds. */
  static final long UNLISTED_RETRY_AFTER_MILLIS = 1_000;

  private final String ownZone;
  private final EndpointSlotTracker slots;
  private final UniformRandomProvider random;
  private final Map<String, ListedEndpoint> endpointsById = new TreeMap<>();
  private final Map<String, EndpointHealth> healthById = new HashMap<>();

  /** Outcome of choosing an endpoint. */
  public sealed interface Choice {

    /** The call goes to this endpoint; one of its slots is taken. */
    record Chosen(String endpointId) implements Choice {}

    /** All available endpoints have reached their limit of calls in flight. */
    record Busy() implements Choice {}

    /** No endpoint may be called before {@code retryAfterMillis} have passed. */
    record None(long retryAfterMillis) implements Choice {}
  }

  /** Creates a router without endpoints for an entry instance in {@code ownZone}. */
  public CallRouter(String ownZone, EndpointSlotTracker slots, UniformRandomProvider random) {
    this.ownZone = ownZone;
    this.slots = slots;
    this.random = random;
  }

  /** Replaces the endpoints of the service with those that the platform lists. */
  public void update(Collection<ListedEndpoint> endpoints) {
    endpointsById.clear();
    endpoints.forEach(endpoint -> endpointsById.put(endpoint.endpointId(), endpoint));
    healthById.keySet().retainAll(endpointsById.keySet());
  }

  /**
   * Chooses an endpoint and takes one of its slots.
   *
   * @param triedIds endpoints that the call was sent to before; others are preferred
   */
  public Choice choose(Set<String> triedIds, long nowMillis) {
    List<ListedEndpoint> callable =
        endpointsById.values().stream()
            .filter(endpoint -> !endpoint.leaving())
            .filter(endpoint -> health(endpoint.endpointId()).mayBeCalled(nowMillis))
            .toList();
    if (callable.isEmpty()) {
      return new Choice.None(retryAfterMillis(nowMillis));
    }
    List<ListedEndpoint> free = callable.stream().filter(slots::hasFree).toList();
    if (free.isEmpty()) {
      return new Choice.Busy();
    }
    List<ListedEndpoint> untried =
        preferred(free, endpoint -> !triedIds.contains(endpoint.endpointId()));
    ListedEndpoint chosen =
        leastLoadedOfTwo(preferred(untried, endpoint -> endpoint.zone().equals(ownZone)));
    slots.acquire(chosen.endpointId());
    health(chosen.endpointId()).onSent();
    return new Choice.Chosen(chosen.endpointId());
  }

  private static List<ListedEndpoint> preferred(
      List<ListedEndpoint> endpoints, Predicate<ListedEndpoint> condition) {
    List<ListedEndpoint> matching = endpoints.stream().filter(condition).toList();
    return matching.isEmpty() ? endpoints : matching;
  }

  private ListedEndpoint leastLoadedOfTwo(List<ListedEndpoint> endpoints) {
    int first = random.nextInt(endpoints.size());
    if (endpoints.size() == 1) {
      return endpoints.getFirst();
    }
    int second = (first + 1 + random.nextInt(endpoints.size() - 1)) % endpoints.size();
    ListedEndpoint one = endpoints.get(first);
    ListedEndpoint other = endpoints.get(second);
    boolean firstIsLess = slots.inFlight(one.endpointId()) <= slots.inFlight(other.endpointId());
    return firstIsLess ? one : other;
  }

  private long retryAfterMillis(long nowMillis) {
    List<Long> delaysMillis = new ArrayList<>();
    for (ListedEndpoint endpoint : endpointsById.values()) {
      if (!endpoint.leaving()) {
        delaysMillis.add(health(endpoint.endpointId()).avoidedUntilMillis() - nowMillis);
      }
    }
    return delaysMillis.stream()
        .mapToLong(delayMillis -> Math.max(1, delayMillis))
        .min()
        .orElse(UNLISTED_RETRY_AFTER_MILLIS);
  }

  private EndpointHealth health(String endpointId) {
    return healthById.computeIfAbsent(endpointId, id -> new EndpointHealth());
  }

  /** Records that a call to an endpoint ended, with or without an answer. */
  public void onEnded(String endpointId, boolean answered, long nowMillis) {
    slots.release(endpointId);
    EndpointHealth health = healthById.get(endpointId);
    if (health == null) {
      return;
    }
    if (answered) {
      health.onSuccess();
    } else {
      health.onFailure(nowMillis);
    }
  }
}
