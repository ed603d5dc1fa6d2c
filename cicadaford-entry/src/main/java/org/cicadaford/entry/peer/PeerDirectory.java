package org.cicadaford.entry.peer;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import org.cicadaford.wire.PeerMessage.Heartbeat;

/** Newest heartbeat of each peer. Safe for use by several threads. */
public final class PeerDirectory {

  private final Map<String, Heard> heardByInstance = new ConcurrentHashMap<>();

  private record Heard(Heartbeat heartbeat, long heardAtMillis) {}

  /** Takes in a heartbeat. */
  public void heard(Heartbeat heartbeat, long nowMillis) {
    heardByInstance.put(heartbeat.instanceId(), new Heard(heartbeat, nowMillis));
  }

  /** Forgets a peer that the platform's list no longer shows. */
  public void forget(String instanceId) {
    heardByInstance.remove(instanceId);
  }

  /** Returns the time of the last heartbeat of a peer, in milliseconds. */
  public OptionalLong heardAtMillis(String instanceId) {
    Heard heard = heardByInstance.get(instanceId);
    return heard == null ? OptionalLong.empty() : OptionalLong.of(heard.heardAtMillis());
  }

  /** Returns the newest ownership epoch of a zone that any peer has told, or -1. */
  public long newestEpoch(String zone) {
    return heardByInstance.values().stream()
        .filter(heard -> heard.heartbeat().zone().equals(zone))
        .mapToLong(heard -> heard.heartbeat().zoneEpoch())
        .max()
        .orElse(-1);
  }

  /** Returns the last heartbeat of a peer. */
  public Optional<Heartbeat> heartbeat(String instanceId) {
    return Optional.ofNullable(heardByInstance.get(instanceId)).map(Heard::heartbeat);
  }
}
