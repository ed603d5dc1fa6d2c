package org.cicadaford.coordinator;

import java.util.concurrent.CompletableFuture;
import org.cicadaford.cell.JobSpec;
import org.cicadaford.cell.Queue;
import org.cicadaford.cell.Submitter;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.wire.PeerMessage;

/** Hands requests of instances to the coordinator that runs here. */
final class CoordinatorRequests {

  private final ConfigHolder config;

  CoordinatorRequests(ConfigHolder config) {
    this.config = config;
  }

  /**
   * Serves a request by this instance's coordinator.
   *
   * @param zone availability zone of the instance that took the request
   */
  CompletableFuture<CellReply> serve(
      CoordinatorService coordinator, String zone, PeerMessage message) {
    return switch (message) {
      case PeerMessage.SubmitJob(String jobId, String queue, String team, byte[] spec) ->
          submit(coordinator, jobId, queue, new Submitter(team, zone), spec);
      case PeerMessage.CancelJob(String jobId, String queue, String team) ->
          coordinator.cancel(jobId, queue, team);
      case PeerMessage.JobPhaseRequest(String jobId, String queue, String team) ->
          CompletableFuture.completedFuture(coordinator.phase(jobId, queue, team));
      case PeerMessage.PendingCountRequest(String queue) ->
          CompletableFuture.completedFuture(coordinator.pendingCount(queue));
      default ->
          CompletableFuture.completedFuture(
              CellReply.of(CellOutcome.INVALID, "not a request to the coordinator"));
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
          CellReply.of(CellOutcome.NOT_COORDINATOR, "the queue is not known here yet"));
    }
    try {
      return coordinator.submit(jobId, queue, submitter, RecordCodec.decode(spec, JobSpec.class));
    } catch (MalformedRecordException e) {
      return CompletableFuture.completedFuture(
          CellReply.of(CellOutcome.INVALID, "the description cannot be read: " + e.getMessage()));
    }
  }
}
