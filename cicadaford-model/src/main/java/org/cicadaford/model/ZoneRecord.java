package org.cicadaford.model;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** Represents a record of a {@code zone-<name>} stream. */
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
   * Records decisions of the zone's owner; rejected as a whole if its epoch is not current.
   *
   * @param epoch offset of the owner's claim
   * @param sequence number of the batch within the epoch, from 1; after an append without an answer
   *     the owner reuses the number for the next batch, and only the first in the stream is applied
   * @param writtenAtMillis decision time by the owner's clock
   * @param configVersion offset of the last configuration record that the owner had applied
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
   * @param snapshotId id that the chunks of one snapshot share
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
