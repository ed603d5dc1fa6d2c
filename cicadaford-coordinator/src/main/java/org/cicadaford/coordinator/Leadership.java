package org.cicadaford.coordinator;

/**
 * Announces a coordinator.
 *
 * <p>{@link #equals} and {@link #hashCode} are explicit because the generated methods are linked on
 * first use, which takes 25 to 50 ms of processor time at each start.
 *
 * @param epoch epoch of the coordinator; higher epochs are newer
 * @param instanceId instance that is the coordinator
 * @param address address of its peer port, {@code ip:port}, or an empty string after it resigned
 */
public record Leadership(long epoch, String instanceId, String address) {

  /** State before the first announcement. */
  public static final Leadership NONE = new Leadership(0, "", "");

  /** Returns whether the coordinator has resigned or none was announced yet. */
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
