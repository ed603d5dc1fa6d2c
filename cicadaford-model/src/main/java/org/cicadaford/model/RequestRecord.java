package org.cicadaford.model;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;

/** A record of the {@code requests} stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
  @JsonSubTypes.Type(value = RequestRecord.JobSubmitted.class, name = "job-submitted"),
  @JsonSubTypes.Type(value = RequestRecord.JobCancelled.class, name = "job-cancelled"),
  @JsonSubTypes.Type(value = RequestRecord.CallClaimed.class, name = "call-claimed"),
  @JsonSubTypes.Type(value = RequestRecord.CallFinished.class, name = "call-finished")
})
public sealed interface RequestRecord extends LogRecord {

  /**
   * Accepts a job; the first record of a request id wins.
   *
   * @param requestId the caller's idempotency key
   * @param taskIndexesByZone which tasks each availability zone is to run
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
   * Claims the only run of a call that is not to be repeated; the first claim of a request id wins.
   *
   * @param instanceId entry instance that made the claim
   */
  record CallClaimed(
      String recordId, String requestId, String team, String instanceId, long claimedAtMillis)
      implements RequestRecord {}

  /**
   * States how a claimed call ended.
   *
   * @param claimOffset offset of the claim that ended
   * @param outcome whether it ran
   * @param statusCode the endpoint's HTTP status, or 0 where there was no answer
   * @param body the endpoint's answer, or empty where it was larger than the ledger keeps
   * @param bodyKept whether {@code body} is the whole answer
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
