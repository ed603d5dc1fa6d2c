package org.cicadaford.wire;

import com.fasterxml.jackson.annotation.JsonInclude;
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

  /** Identifies the sender. This is the first message in each direction of a connection. */
  record Hello(String instanceId, String zone) implements PeerMessage {}

  /**
   * Reports that the sender is alive, and its state of the zone and of the configuration.
   *
   * @param zoneEpoch newest ownership epoch of its zone that the sender has read from the log
   * @param ownsZone whether the sender currently acts as the owner of its zone
   * @param configVersion offset of the last configuration record that it has applied
   * @param configConfirmedAtMillis time on the sender's clock at which the log last confirmed that
   *     version as the newest; an absolute time, because an age would be too low after a delay in
   *     transmission
   */
  record Heartbeat(
      String instanceId,
      String zone,
      long zoneEpoch,
      boolean ownsZone,
      long configVersion,
      long configConfirmedAtMillis)
      implements PeerMessage {}

  /** Requests the configuration records from an offset on. */
  record ConfigRecordsRequest(long fromOffset) implements PeerMessage {}

  /**
   * Answers a {@link ConfigRecordsRequest}.
   *
   * @param snapshot complete configuration as one record if the sender no longer keeps the
   *     requested records, otherwise empty
   * @param records encoded consecutive records, the first at {@code firstOffset}
   * @param configConfirmedAtMillis as in {@link Heartbeat}
   */
  record ConfigRecordsAnswer(
      byte[] snapshot, long firstOffset, List<byte[]> records, long configConfirmedAtMillis)
      implements PeerMessage {}

  /**
   * Passes the last lease granted on each worker to the next owner of a zone. The sender grants no
   * lease after this message.
   *
   * @param epoch ownership epoch in which the sender owned the zone
   * @param leaseUntilMillisByWorker expiry of the last lease granted, by worker id
   */
  record HandOver(String zone, long epoch, Map<String, Long> leaseUntilMillisByWorker)
      implements PeerMessage {}

  /** Requests the state of a job in the receiver's zone. */
  record JobStatusRequest(String jobId) implements PeerMessage {}

  /**
   * Answers a {@link JobStatusRequest}.
   *
   * @param content state of the job's tasks in MessagePack, or empty if the zone has no such job
   */
  record JobStatusAnswer(String jobId, byte[] content) implements PeerMessage {}

  /**
   * Rejects a request that the receiver cannot serve.
   *
   * @param detail reason, and what the sender can do
   */
  record Refusal(String detail) implements PeerMessage {}

  /** A message between instances that share one cell coordinator. */
  sealed interface CellMessage extends PeerMessage {}

  /**
   * Submits a job to the cell coordinator.
   *
   * @param jobId id chosen by the submitter
   * @param queue name of the queue
   * @param team team that the job is charged to, or an empty string on an open queue
   * @param spec description of the job in MessagePack
   */
  record SubmitJob(String jobId, String queue, String team, byte[] spec) implements CellMessage {}

  /** Requests the cancellation of a job from the cell coordinator. */
  record CancelJob(String jobId, String queue, String team) implements CellMessage {}

  /**
   * Requests the stored phase of a job.
   *
   * @param waitMillis time for which the answer may be delayed until the job has ended, in
   *     milliseconds; 0 in requests of builds without it
   */
  record JobPhaseRequest(
      String jobId,
      String queue,
      String team,
      @JsonInclude(JsonInclude.Include.NON_DEFAULT) long waitMillis)
      implements CellMessage {}

  /** Requests the number of jobs of a queue that have not started from the cell coordinator. */
  record PendingCountRequest(String queue) implements CellMessage {}

  /**
   * Answers a request to the cell coordinator.
   *
   * @param outcome name of the outcome of the request
   * @param value requested value, or the reason of a refusal
   * @param retryAfterMillis time after which a refused caller may retry, in milliseconds
   */
  record CellAnswer(String outcome, String value, long retryAfterMillis) implements CellMessage {}

  /**
   * Registers the sender with the coordinator as a helper that sends requests on its behalf.
   *
   * @param address address of the sender's peer port, {@code ip:port}
   * @param fit whether the sender has enough resources to become coordinator
   */
  record HelperOffer(String instanceId, String address, boolean fit) implements CellMessage {}

  /**
   * Answers a {@link HelperOffer}.
   *
   * @param epoch epoch of the answering coordinator, or 0 if the receiver is not the coordinator
   * @param standby whether the helper is to replay the journal as a standby, for a fast failover
   */
  record HelperAnswer(long epoch, boolean standby) implements CellMessage {}

  /**
   * Asks the receiver to relay an order to a worker.
   *
   * @param order kind of order
   * @param epoch epoch of the coordinator
   * @param content the order in MessagePack
   * @param tokenOffset difference between the fencing token of the order and the epoch; earlier
   *     builds neither send nor read it
   */
  record OrderRequest(
      String order,
      long epoch,
      byte[] content,
      @JsonInclude(JsonInclude.Include.NON_DEFAULT) int tokenOffset)
      implements CellMessage {}

  /**
   * Answers an {@link OrderRequest}.
   *
   * @param content the worker's answer in MessagePack
   */
  record OrderAnswer(byte[] content) implements CellMessage {}

  /** Asks the receiver to call the external advice service on behalf of the sender. */
  record AdviceRequest(String step, List<String> workerIds, long timeoutMillis)
      implements CellMessage {}

  /**
   * Answers an {@link AdviceRequest}.
   *
   * @param tickets tickets of the workers that may run the step, by worker id
   * @param validMillis time for which the tickets are accepted, in milliseconds
   */
  record AdviceAnswer(Map<String, String> tickets, long validMillis) implements CellMessage {}
}
