package org.cicadaford.model;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** A record of a {@code zone-<name>} stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ZoneRecord.OwnerClaimed.class, name = "owner-claimed"),
  @JsonSubTypes.Type(value = ZoneRecord.OwnerBatch.class, name = "owner-batch"),
  @JsonSubTypes.Type(value = ZoneRecord.ZoneSnapshotChunk.class, name = "zone-snapshot-chunk")
})
public sealed interface ZoneRecord extends LogRecord {

  /** Makes its writer the zone's owner; the record's offset is the ownership epoch. */
  record OwnerClaimed(String recordId, String instanceId, long claimedAtMillis)
      implements ZoneRecord {}

  /**
   * Records decisions of the zone's owner; rejected whole if its epoch is not the current one.
   *
   * @param epoch offset of the owner's claim
   * @param sequence number of the batch within the epoch, from 1; after a lost answer the owner
   *     writes the next batch with the same number, and the first of the two in the stream wins
   * @param writtenAtMillis the owner's clock when it decided
   * @param configVersion offset of the last configuration record that it had applied
   * @param requestsOffset offset before which all requests are reflected in the zone's state
   * @param changes decisions in order
   */
  record OwnerBatch(
      String recordId,
      long epoch,
      long sequence,
      long writtenAtMillis,
      long configVersion,
      long requestsOffset,
      List<ZoneChange> changes)
      implements ZoneRecord {}

  /**
   * Holds a part of a snapshot of the zone's state.
   *
   * @param epoch offset of the writer's claim
   * @param snapshotId joins the chunks of one snapshot
   * @param asOfOffset offset of the last record that the snapshot includes
   */
  record ZoneSnapshotChunk(
      String recordId,
      long epoch,
      String snapshotId,
      long asOfOffset,
      int index,
      int count,
      byte[] content)
      implements ZoneRecord {}
}
