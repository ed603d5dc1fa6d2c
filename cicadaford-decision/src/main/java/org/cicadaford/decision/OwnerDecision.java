package org.cicadaford.decision;

import java.util.List;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.ConfigRecord.AllotmentReleased;
import org.cicadaford.model.ConfigRecord.AllotmentTaken;
import org.cicadaford.model.ZoneChange;

/**
 * Holds what an owner should record, send and append now.
 *
 * @param changes changes to record in the next batch; they take effect only once the batch is read
 *     back
 * @param requestsOffset offset in the requests stream to record with them
 * @param commands commands to send now; they follow from changes already recorded
 * @param allotmentChanges changes of the zone's allotments to append to the configuration stream
 */
public record OwnerDecision(
    List<ZoneChange> changes,
    long requestsOffset,
    List<AddressedCommand> commands,
    List<AllotmentChange> allotmentChanges) {

  /**
   * Changes the zone's allotment of a team's limit.
   *
   * @param team the team
   * @param millicores amount to take, or to return if negative
   * @param sequence sequence number of the record within the epoch; it is not reused if the change
   *     is not appended
   */
  public record AllotmentChange(String team, long millicores, long sequence) {

    /** Returns the record by which the owner of {@code zone} in {@code epoch} makes the change. */
    public ConfigRecord toRecord(String recordId, String zone, long epoch) {
      return millicores >= 0
          ? new AllotmentTaken(recordId, zone, epoch, sequence, team, millicores)
          : new AllotmentReleased(recordId, zone, epoch, sequence, team, -millicores);
    }
  }
}
