package org.cicadaford.coordinator;

import java.util.concurrent.CompletableFuture;
import org.cicadaford.cell.JobSpec;
import org.cicadaford.cell.Queue;
import org.cicadaford.cell.Submitter;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.wire.PeerMessage;

/** Passes requests from instances to the local coordinator. */
final class CoordinatorRequestHandler {

  private final ConfigHolder config;

  CoordinatorRequestHandler(ConfigHolder config) {
    this.config = config;
  }

  /**
   * Executes a request on the local coordinator.
   *
   * @param zone availability zone of the instance that received the request
   */
  CompletableFuture<CellReply> handle(
      CoordinatorService coordinator, String zone, PeerMessage message) {
    return switch (message) {
      case PeerMessage.SubmitJob(String jobId, String queue, String team, byte[] spec) ->
          submit(coordinator, jobId, queue, new Submitter(team, zone), spec);
      case PeerMessage.CancelJob(String jobId, String queue, String team) ->
          coordinator.cancel(jobId, queue, team);
      case PeerMessage.JobPhaseRequest(String jobId, String queue, String team) ->
          CompletableFuture.completedFuture(coordinator.jobPhase(jobId, queue, team));
      case PeerMessage.PendingCountRequest(String queue) ->
          CompletableFuture.completedFuture(coordinator.pendingCount(queue));
      default ->
          CompletableFuture.completedFuture(
              CellReply.of(CellOutcome.INVALID, "the message is not a coordinator request"));
    };
  }

  private CompletableFuture<CellReply> submit(
      CoordinatorService coordinator,
      String jobId,
      String queueName,
      Submitter submitter,
      byte[] spec) {
    Queue queue = config.published().config().queue(queueName).orElse(null);
    if (queue == null) {
      return CompletableFuture.completedFuture(
          CellReply.of(
              CellOutcome.NOT_COORDINATOR, "the queue is not configured on the coordinator yet"));
    }
    try {
      return coordinator.submit(jobId, queue, submitter, RecordCodec.decode(spec, JobSpec.class));
    } catch (MalformedRecordException e) {
      return CompletableFuture.completedFuture(
          CellReply.of(
              CellOutcome.INVALID, "cannot decode the job description: " + e.getMessage()));
    }
  }
}
