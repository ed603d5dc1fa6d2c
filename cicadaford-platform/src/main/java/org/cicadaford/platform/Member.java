package org.cicadaford.platform;

import org.cicadaford.model.Resources;

/**
 * Describes an instance in the platform's membership list, which is eventually consistent.
 *
 * @param instanceId unique id, never reused by the platform
 * @param role role of the instance
 * @param zone availability zone of the instance
 * @param rack rack of the instance
 * @param host IP address
 * @param port TCP port of its HTTP interface
 * @param peerPort TCP port for peers, for entry instances; otherwise 0
 * @param service name of the service, for endpoints; otherwise empty
 * @param capacity resources available to tasks, for workers; otherwise none
 * @param state whether the instance is shutting down
 */
public record Member(
    String instanceId,
    Role role,
    String zone,
    String rack,
    String host,
    int port,
    int peerPort,
    String service,
    Resources capacity,
    State state) {

  /** Returns a copy with the given peer port. */
  public Member withPeerPort(int newPeerPort) {
    return new Member(
        instanceId, role, zone, rack, host, port, newPeerPort, service, capacity, state);
  }

  /** Role of an instance. */
  public enum Role {
    /** Runs an entry daemon. */
    ENTRY,
    /** Runs tasks. */
    WORKER,
    /** Serves calls to a service. */
    ENDPOINT
  }

  /** Lifecycle state of an instance. */
  public enum State {
    /** The instance accepts work. */
    LIVE,
    /** The instance is shutting down and must receive no new work. */
    LEAVING
  }
}
