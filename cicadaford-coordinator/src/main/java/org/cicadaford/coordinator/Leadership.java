package org.cicadaford.coordinator;

/**
 * Announcement of a coordinator.
 *
 * @param epoch epoch of the coordinator; higher ones are newer
 * @param instanceId instance that is the coordinator
 * @param address address of its peer port, {@code ip:port}, or an empty string once it has resigned
 */
public record Leadership(long epoch, String instanceId, String address) {

  /** State before the first announcement. */
  public static final Leadership NONE = new Leadership(0, "", "");

  /** Returns whether the coordinator has resigned, or there was none yet. */
  public boolean vacant() {
    return address.isEmpty();
  }
}
