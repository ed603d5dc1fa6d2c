package org.cicadaford.coordinator;

/**
 * Announcement of a coordinator.
 *
 * <p>Its methods of comparison are written out: the generated ones are bound by method handles on
 * their first use, which takes 25 to 50 ms of processor time, and it is compared at each start.
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

  @Override
  public boolean equals(Object other) {
    return other instanceof Leadership that
        && epoch == that.epoch
        && instanceId.equals(that.instanceId)
        && address.equals(that.address);
  }

  @Override
  public int hashCode() {
    return 31 * Long.hashCode(epoch) + instanceId.hashCode();
  }
}
