package org.cicadaford.decision;

import java.util.List;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.ConfigRecord.AllotmentReleased;
import org.cicadaford.model.ConfigRecord.AllotmentTaken;
import org.cicadaford.model.ZoneChange;

/**
 * What an owner is to do now.
 *
 * @param changes decisions to record in the next batch; they are acted on only once they are read
 *     back
 * @param requestsOffset requests offset to record with them
 * @param commands commands to send now; they follow from what is recorded already
 * @param allotmentChanges changes of the zone's allotments to append to the configuration
 */
public record OwnerDecision(
    List<ZoneChange> changes,
    long requestsOffset,
    List<AddressedCommand> commands,
    List<AllotmentChange> allotmentChanges) {

  /**
   * A change of the zone's allotment of a team's limit.
   *
   * @param team the team
   * @param millicores amount to take, or to return if negative
   * @param sequence number within the epoch that the record is to carry; a change that is not
   *     appended uses up its number
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
