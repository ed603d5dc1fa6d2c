package org.cicadaford.model;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;

/** A record of the {@code config} stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ConfigRecord.ConfigPublished.class, name = "config-published"),
  @JsonSubTypes.Type(value = ConfigRecord.KeyGranted.class, name = "key-granted"),
  @JsonSubTypes.Type(value = ConfigRecord.KeyWithdrawn.class, name = "key-withdrawn"),
  @JsonSubTypes.Type(value = ConfigRecord.ZoneTakenOut.class, name = "zone-taken-out"),
  @JsonSubTypes.Type(value = ConfigRecord.ZoneBroughtIn.class, name = "zone-brought-in"),
  @JsonSubTypes.Type(value = ConfigRecord.AllotmentTaken.class, name = "allotment-taken"),
  @JsonSubTypes.Type(value = ConfigRecord.AllotmentReleased.class, name = "allotment-released"),
  @JsonSubTypes.Type(value = ConfigRecord.ConfigSnapshot.class, name = "config-snapshot")
})
public sealed interface ConfigRecord extends LogRecord {

  /**
   * Replaces and removes descriptions, teams and queues in one step.
   *
   * @param baseVersion version of the publish that this one was made from, or -1 for the first
   */
  record ConfigPublished(
      String recordId,
      long baseVersion,
      List<JobDescription> descriptions,
      List<TeamPolicy> teams,
      List<QueuePolicy> queues,
      List<String> removedDescriptions,
      List<String> removedTeams,
      List<String> removedQueues)
      implements ConfigRecord {}

  /**
   * Grants a key to a team.
   *
   * @param keyHash SHA-256 of the key in hexadecimal; the key itself is never recorded
   */
  record KeyGranted(String recordId, String keyHash, String team) implements ConfigRecord {}

  /** Withdraws a key for good: the same key cannot be granted again. */
  record KeyWithdrawn(String recordId, String keyHash) implements ConfigRecord {}

  /**
   * Takes an availability zone out: no task starts there.
   *
   * @param baseVersion offset of the last change of this zone that the operator saw, or -1
   */
  record ZoneTakenOut(String recordId, String zone, long baseVersion) implements ConfigRecord {}

  /**
   * Brings an availability zone back in.
   *
   * @param baseVersion offset of the last change of this zone that the operator saw, or -1
   */
  record ZoneBroughtIn(String recordId, String zone, long baseVersion) implements ConfigRecord {}

  /**
   * Adds to a zone's allotment of a team's limit; valid only within the limit.
   *
   * @param epoch ownership epoch of the writer; a record of an older epoch than one seen before is
   *     rejected, so that an owner that was replaced cannot change the allotments any more
   * @param sequence number of the record within the epoch; a late duplicate is rejected by it
   * @param millicores amount added; 0 only raises the epoch
   */
  record AllotmentTaken(
      String recordId, String zone, long epoch, long sequence, String team, long millicores)
      implements ConfigRecord {}

  /**
   * Returns a part of a zone's allotment, which the zone no longer uses.
   *
   * @param epoch ownership epoch of the writer, as in {@link AllotmentTaken}
   * @param sequence number of the record within the epoch
   * @param millicores amount returned
   */
  record AllotmentReleased(
      String recordId, String zone, long epoch, long sequence, String team, long millicores)
      implements ConfigRecord {}

  /**
   * States the whole configuration as of an offset, so that earlier records may expire.
   *
   * @param asOfOffset offset of the last record that the snapshot includes
   * @param publishVersion version of the last accepted publish
   * @param zoneVersions offset of the last change of each zone that was ever taken out
   * @param allotments allotments in millicores by team, then by zone
   * @param allotmentFences newest writer of allotments of each zone
   */
  record ConfigSnapshot(
      String recordId,
      long asOfOffset,
      long publishVersion,
      List<JobDescription> descriptions,
      List<TeamPolicy> teams,
      List<QueuePolicy> queues,
      Map<String, String> teamByKeyHash,
      List<String> withdrawnKeyHashes,
      List<String> zonesOut,
      Map<String, Long> zoneVersions,
      Map<String, Map<String, Long>> allotments,
      Map<String, AllotmentFence> allotmentFences)
      implements ConfigRecord {}

  /**
   * Names the newest writer of a zone's allotments.
   *
   * @param epoch its ownership epoch
   * @param sequence number of its last record
   */
  record AllotmentFence(long epoch, long sequence) {}
}
