package org.cicadaford.decision;

import java.util.List;
import org.cicadaford.model.ZoneChange;

/**
 * What an owner is to do now.
 *
 * @param changes decisions to record in the next batch; they are acted on only once they are read
 *     back
 * @param requestsOffset requests offset to record with them
 * @param orders commands to send now; they follow from what is recorded already
 * @param allotmentChanges changes of the zone's allotments to append to the configuration
 */
public record OwnerDecision(
    List<ZoneChange> changes,
    long requestsOffset,
    List<WorkerOrder> orders,
    List<AllotmentChange> allotmentChanges) {

  /**
   * A change of the zone's allotment of a team's limit.
   *
   * @param team the team
   * @param millicores amount to take, or to return if negative
   * @param sequence number within the epoch that the record is to carry; a change that is not
   *     appended uses up its number
   */
  public record AllotmentChange(String team, long millicores, long sequence) {}
}
