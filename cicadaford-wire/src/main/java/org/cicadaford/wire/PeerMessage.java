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
  @JsonSubTypes.Type(value = PeerMessage.SubmitJob.class, name = "submit"),
  @JsonSubTypes.Type(value = PeerMessage.CancelJob.class, name = "cancel"),
  @JsonSubTypes.Type(value = PeerMessage.JobPhaseRequest.class, name = "phase-request"),
  @JsonSubTypes.Type(value = PeerMessage.PendingCountRequest.class, name = "count-request"),
  @JsonSubTypes.Type(value = PeerMessage.CellAnswer.class, name = "cell-answer"),
  @JsonSubTypes.Type(value = PeerMessage.HelperOffer.class, name = "helper-offer"),
  @JsonSubTypes.Type(value = PeerMessage.HelperAnswer.class, name = "helper-answer"),
  @JsonSubTypes.Type(value = PeerMessage.OrderRequest.class, name = "order"),
  @JsonSubTypes.Type(value = PeerMessage.OrderAnswer.class, name = "order-answer"),
  @JsonSubTypes.Type(value = PeerMessage.AdviceRequest.class, name = "advice-request"),
  @JsonSubTypes.Type(value = PeerMessage.AdviceAnswer.class, name = "advice-answer"),
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

  /** A message of instances that share one cell coordinator. */
  sealed interface CellMessage extends PeerMessage {}

  /**
   * Hands a job to the cell coordinator.
   *
   * @param jobId id chosen by the submitter
   * @param queue name of the queue
   * @param team team that it counts for, or an empty string on an open queue
   * @param spec description of the job in MessagePack
   */
  record SubmitJob(String jobId, String queue, String team, byte[] spec) implements CellMessage {}

  /** Asks the cell coordinator to cancel a job of a queue. */
  record CancelJob(String jobId, String queue, String team) implements CellMessage {}

  /** Asks the cell coordinator for the state of a job of a queue. */
  record JobPhaseRequest(String jobId, String queue, String team) implements CellMessage {}

  /** Asks the cell coordinator how many jobs of a queue have not started. */
  record PendingCountRequest(String queue) implements CellMessage {}

  /**
   * Answers a request to the cell coordinator.
   *
   * @param outcome name of the outcome
   * @param value what was asked for, or the reason of a refusal
   * @param retryAfterMillis time after which a refused caller may try again, in milliseconds
   */
  record CellAnswer(String outcome, String value, long retryAfterMillis) implements CellMessage {}

  /**
   * Offers the sender to the coordinator as a helper that makes calls for it.
   *
   * @param address address of the sender's peer port, {@code ip:port}
   * @param fit whether the sender has the resources of a coordinator
   */
  record HelperOffer(String instanceId, String address, boolean fit) implements CellMessage {}

  /**
   * Answers a {@link HelperOffer}.
   *
   * @param epoch epoch of the coordinator that answers, or 0 if the receiver is none
   * @param standby whether the sender is to follow the journal, so that it can take over quickly
   */
  record HelperAnswer(long epoch, boolean standby) implements CellMessage {}

  /**
   * Hands the receiver an order that it sends to a worker.
   *
   * @param order kind of the order
   * @param epoch epoch of the coordinator
   * @param content the order in MessagePack
   */
  record OrderRequest(String order, long epoch, byte[] content) implements CellMessage {}

  /**
   * Answers an {@link OrderRequest}.
   *
   * @param content the worker's answer in MessagePack
   */
  record OrderAnswer(byte[] content) implements CellMessage {}

  /** Asks the receiver to call the advice service. */
  record AdviceRequest(String step, List<String> workerIds, long timeoutMillis)
      implements CellMessage {}

  /**
   * Answers an {@link AdviceRequest}.
   *
   * @param tickets tickets by worker that may run the step
   * @param validMillis time for which they are accepted, in milliseconds
   */
  record AdviceAnswer(Map<String, String> tickets, long validMillis) implements CellMessage {}
}
