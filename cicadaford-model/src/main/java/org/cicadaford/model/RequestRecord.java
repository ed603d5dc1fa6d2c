package org.cicadaford.model;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;

/** Represents a record of the {@code requests} stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
  @JsonSubTypes.Type(value = RequestRecord.JobSubmitted.class, name = "job-submitted"),
  @JsonSubTypes.Type(value = RequestRecord.JobCancelled.class, name = "job-cancelled"),
  @JsonSubTypes.Type(value = RequestRecord.CallClaimed.class, name = "call-claimed"),
  @JsonSubTypes.Type(value = RequestRecord.CallFinished.class, name = "call-finished")
})
public sealed interface RequestRecord extends LogRecord {

  /**
   * Accepts a job; only the first record of a request id takes effect.
   *
   * @param requestId idempotency key chosen by the client
   * @param taskIndexesByZone indexes of the tasks assigned to each availability zone
   */
  record JobSubmitted(
      String recordId,
      String requestId,
      String jobId,
      JobDescription description,
      Map<String, List<Integer>> taskIndexesByZone,
      long submittedAtMillis)
      implements RequestRecord {}

  /** Cancels a job. */
  record JobCancelled(String recordId, String jobId, String team) implements RequestRecord {}

  /**
   * Claims the only execution of a non-repeatable call; only the first claim of a request id takes
   * effect.
   *
   * @param instanceId entry instance that made the claim
   */
  record CallClaimed(
      String recordId, String requestId, String team, String instanceId, long claimedAtMillis)
      implements RequestRecord {}

  /**
   * Records the outcome of a claimed call.
   *
   * @param claimOffset offset of the call's claim
   * @param outcome whether the call was executed
   * @param statusCode HTTP status of the endpoint, or 0 without a response
   * @param body response body, or empty if it exceeds the maximum recorded size
   * @param bodyKept whether {@code body} is the whole response body
   */
  record CallFinished(
      String recordId,
      String requestId,
      long claimOffset,
      RunOutcome outcome,
      int statusCode,
      String contentType,
      byte[] body,
      boolean bodyKept)
      implements RequestRecord {}
}
