package org.cicadaford.wire;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;

/** A message between two entry daemons. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
  @JsonSubTypes.Type(value = PeerMessage.Hello.class, name = "hello"),
  @JsonSubTypes.Type(value = PeerMessage.Heartbeat.class, name = "heartbeat"),
  @JsonSubTypes.Type(value = PeerMessage.ConfigRecordsRequest.class, name = "config-request"),
  @JsonSubTypes.Type(value = PeerMessage.ConfigRecordsAnswer.class, name = "config-answer"),
  @JsonSubTypes.Type(value = PeerMessage.HandOver.class, name = "hand-over"),
  @JsonSubTypes.Type(value = PeerMessage.JobStatusRequest.class, name = "job-request"),
  @JsonSubTypes.Type(value = PeerMessage.JobStatusAnswer.class, name = "job-answer"),
  @JsonSubTypes.Type(value = PeerMessage.Refusal.class, name = "refusal")
})
public sealed interface PeerMessage {

  /** Names the sender; first message in each direction of a connection. */
  record Hello(String instanceId, String zone) implements PeerMessage {}

  /**
   * States that the sender is alive, and what it knows.
   *
   * @param zoneEpoch newest ownership epoch of its zone that the sender has read
   * @param ownsZone whether the sender acts as the owner of its zone
   * @param configVersion offset of the last configuration record that it has applied
   * @param configConfirmedAtMillis the sender's clock at which the log last confirmed that version
   *     as the newest; an absolute time, because an age would grow younger on a slow connection
   */
  record Heartbeat(
      String instanceId,
      String zone,
      long zoneEpoch,
      boolean ownsZone,
      long configVersion,
      long configConfirmedAtMillis)
      implements PeerMessage {}

  /** Asks for configuration records from an offset on. */
  record ConfigRecordsRequest(long fromOffset) implements PeerMessage {}

  /**
   * Answers a {@link ConfigRecordsRequest}.
   *
   * @param snapshot whole configuration as a record, when the sender no longer has the records
   *     asked for; otherwise empty
   * @param records contents of consecutive records, the first at {@code firstOffset}
   * @param configConfirmedAtMillis as in {@link Heartbeat}
   */
  record ConfigRecordsAnswer(
      byte[] snapshot, long firstOffset, List<byte[]> records, long configConfirmedAtMillis)
      implements PeerMessage {}

  /**
   * Tells the next owner of a zone the last lease that the sender granted on each worker. The
   * sender grants no lease after this message.
   *
   * @param epoch epoch in which the sender owned the zone
   * @param leaseUntilMillisByWorker end of the last lease granted, by worker
   */
  record HandOver(String zone, long epoch, Map<String, Long> leaseUntilMillisByWorker)
      implements PeerMessage {}

  /** Asks for the state of a job in the receiver's zone. */
  record JobStatusRequest(String jobId) implements PeerMessage {}

  /**
   * Answers a {@link JobStatusRequest}.
   *
   * @param content state of the job's tasks in MessagePack, or empty if the zone does not know it
   */
  record JobStatusAnswer(String jobId, byte[] content) implements PeerMessage {}

  /**
   * Answers a request that the receiver cannot serve.
   *
   * @param detail why, and what the sender can do
   */
  record Refusal(String detail) implements PeerMessage {}
}
