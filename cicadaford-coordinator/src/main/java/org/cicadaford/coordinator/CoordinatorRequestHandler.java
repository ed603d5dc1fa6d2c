package org.cicadaford.coordinator;

import java.util.concurrent.CompletableFuture;
import org.cicadaford.cell.InvalidJobException;
import org.cicadaford.cell.JobSpec;
import org.cicadaford.cell.JobSpecValidator;
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
          coordinator.requests().cancel(jobId, queue, team);
      case PeerMessage.JobPhaseRequest(String jobId, String queue, String team, long waitMillis) ->
          coordinator.requests().jobPhase(jobId, queue, team, waitMillis);
      case PeerMessage.PendingCountRequest(String queue) ->
          CompletableFuture.completedFuture(coordinator.requests().pendingCount(queue));
      default ->
          CompletableFuture.completedFuture(
              CellReply.of(CellOutcome.INVALID, "the message is not a coordinator request"));
    };
  }

  private static int nameLength(Queue queue, Submitter submitter) {
    return queue.name().length()
        + queue.host().length()
        + queue.pathPrefix().length()
        + queue.service().length()
        + submitter.team().length()
        + (submitter.zone() == null ? 0 : submitter.zone().length());
  }

  private CompletableFuture<CellReply> submit(
      CoordinatorService coordinator,
      String jobId,
      String queueName,
      Submitter submitter,
      byte[] spec) {
    if (jobId == null || submitter.team() == null || spec == null) {
      return CompletableFuture.completedFuture(
          CellReply.of(CellOutcome.INVALID, "the submission lacks a value"));
    }
    Queue queue = config.published().config().queue(queueName).orElse(null);
    if (queue == null) {
      return CompletableFuture.completedFuture(
          CellReply.of(
              CellOutcome.NOT_COORDINATOR, "the queue is not configured on the coordinator yet"));
    }
    try {
      JobSpec decoded = RecordCodec.decode(spec, JobSpec.class);
      // The decoder fills in null for values that the message lacks.
      JobSpecValidator.check(decoded);
      if (!coordinator.requests().isKnown(jobId)) {
        // An earlier build may have stored a larger job, whose submission may be repeated.
        JobSpecValidator.checkSize(decoded, nameLength(queue, submitter));
      }
      return coordinator.requests().submit(jobId, queue, submitter, decoded);
    } catch (InvalidJobException e) {
      return CompletableFuture.completedFuture(
          CellReply.of(CellOutcome.INVALID, "invalid job: " + e.getMessage()));
    } catch (MalformedRecordException e) {
      return CompletableFuture.completedFuture(
          CellReply.of(
              CellOutcome.INVALID, "cannot decode the job description: " + e.getMessage()));
    }
  }
}
