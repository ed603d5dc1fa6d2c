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

  /** Takes an availability zone out: no task starts there. */
  record ZoneTakenOut(String recordId, String zone) implements ConfigRecord {}

  /** Brings an availability zone back in. */
  record ZoneBroughtIn(String recordId, String zone) implements ConfigRecord {}

  /** Adds to a zone's allotment of a team's limit; valid only within the limit. */
  record AllotmentTaken(String recordId, String team, String zone, long millicores)
      implements ConfigRecord {}

  /** Returns a part of a zone's allotment, which the zone no longer uses. */
  record AllotmentReleased(String recordId, String team, String zone, long millicores)
      implements ConfigRecord {}

  /**
   * States the whole configuration as of an offset, so that earlier records may expire.
   *
   * @param asOfOffset offset of the last record that the snapshot includes
   * @param publishVersion version of the last accepted publish
   * @param allotments allotments in millicores by team, then by zone
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
      Map<String, Map<String, Long>> allotments)
      implements ConfigRecord {}
}
