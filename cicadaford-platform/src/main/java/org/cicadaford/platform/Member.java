package org.cicadaford.platform;

import org.cicadaford.model.Resources;

/**
 * An instance as the platform's lagging list shows it.
 *
 * @param instanceId id that the platform never uses again
 * @param role what the instance does
 * @param zone availability zone that it is in
 * @param rack rack that it is in
 * @param host IP address
 * @param port TCP port of its HTTP interface
 * @param peerPort TCP port for peers, for entry instances; otherwise 0
 * @param service name of the service that it runs, for endpoints; otherwise empty
 * @param capacity what it offers to tasks, for workers; otherwise nothing
 * @param state whether it is about to leave
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

  /** Returns this instance with another port for peers. */
  public Member withPeerPort(int newPeerPort) {
    return new Member(
        instanceId, role, zone, rack, host, port, newPeerPort, service, capacity, state);
  }

  /** What an instance does. */
  public enum Role {
    /** Runs an entry daemon. */
    ENTRY,
    /** Runs tasks. */
    WORKER,
    /** Runs a service that callers call. */
    ENDPOINT
  }

  /** Whether an instance is about to leave. */
  public enum State {
    /** The instance serves. */
    LIVE,
    /** The instance is about to leave and must receive no new work. */
    LEAVING
  }
}
