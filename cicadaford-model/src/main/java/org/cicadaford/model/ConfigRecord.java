package org.cicadaford.model;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;

/** Represents a record of the {@code config} stream. */
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
   * Replaces and removes descriptions, teams and queues atomically.
   *
   * @param baseVersion version that this one was derived from, or -1 for the first
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
   * @param keyHash SHA-256 of the key in hexadecimal; the key itself is never stored
   */
  record KeyGranted(String recordId, String keyHash, String team) implements ConfigRecord {}

  /** Withdraws a key permanently: the same key cannot be granted again. */
  record KeyWithdrawn(String recordId, String keyHash) implements ConfigRecord {}

  /**
   * Takes an availability zone out of service: no task starts there.
   *
   * @param baseVersion offset of the last change of this zone that the operator saw, or -1
   */
  record ZoneTakenOut(String recordId, String zone, long baseVersion) implements ConfigRecord {}

  /**
   * Brings an availability zone back into service.
   *
   * @param baseVersion offset of the last change of this zone that the operator saw, or -1
   */
  record ZoneBroughtIn(String recordId, String zone, long baseVersion) implements ConfigRecord {}

  /**
   * Increases a zone's share of a team's limit, its allotment; valid only within the limit.
   *
   * @param epoch ownership epoch of the writer; records of an older epoch than the latest one are
   *     rejected, so that a replaced owner can no longer change allotments
   * @param sequence number of the record within the epoch, by which late duplicates are rejected
   * @param millicores amount added; 0 only raises the epoch
   */
  record AllotmentTaken(
      String recordId, String zone, long epoch, long sequence, String team, long millicores)
      implements ConfigRecord {}

  /**
   * Returns an unused part of a zone's allotment.
   *
   * @param epoch ownership epoch of the writer, as in {@link AllotmentTaken}
   * @param sequence number of the record within the epoch
   * @param millicores amount returned
   */
  record AllotmentReleased(
      String recordId, String zone, long epoch, long sequence, String team, long millicores)
      implements ConfigRecord {}

  /**
   * Holds the whole configuration as of an offset, so that earlier records may expire.
   *
   * @param asOfOffset offset of the last record that the snapshot includes
   * @param publishVersion version of the last accepted {@link ConfigPublished}
   * @param zoneVersions offset of the last change of each zone that was ever out of service
   * @param allotments allotments in millicores by team, then by zone
   * @param allotmentFences latest writer of each zone's allotments
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
   * Identifies the latest writer of a zone's allotments, to reject records of earlier ones.
   *
   * @param epoch ownership epoch of the writer
   * @param sequence sequence number of the writer's last record
   */
  record AllotmentFence(long epoch, long sequence) {}
}
