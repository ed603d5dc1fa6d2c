package org.cicadaford.cell;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/** What the coordinator wants to have done. */
public sealed interface Action {

  /**
   * Orders a worker to start a task.
   *
   * @param address address of the worker
   * @param ticket ticket to carry, or an empty string
   * @param deadlineMillis time on the worker's clock after which the order is void
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record StartTask(
      String workerId,
      String address,
      String task,
      int run,
      String payload,
      String checkpoint,
      String ticket,
      long deadlineMillis)
      implements Action {}

  /** Orders a worker to stop a run; also keeps a run that is not there yet from starting. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record StopTask(String workerId, String address, String task, int run, StopReason reason)
      implements Action {}

  /**
   * Asks which workers may run a step.
   *
   * @param callId id by which the answer is matched
   * @param callerId instance that makes the call
   * @param step name of the step
   * @param timeoutMillis time after which the call is given up
   */
  record RequestAdvice(
      long callId, String callerId, String step, List<String> workerIds, long timeoutMillis)
      implements Action {}

  /**
   * Renews the lease of a worker and asks for its report.
   *
   * @param acknowledgedEnd number of the last end that the worker may forget
   * @param deadlineMillis end of the lease on the worker's clock, or 0 if its clock is unknown
   * @param waitMillis time for which the worker may wait for an end
   * @param timeoutMillis time after which the answer is given up
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Renew(
      String workerId,
      long incarnation,
      String address,
      long acknowledgedEnd,
      long deadlineMillis,
      long waitMillis,
      long timeoutMillis)
      implements Action {

    /** Returns the same renewal, to be answered at once. */
    public Renew withoutWait() {
      return new Renew(
          workerId,
          incarnation,
          address,
          acknowledgedEnd,
          deadlineMillis,
          0,
          timeoutMillis - waitMillis);
    }
  }

  /** Answers a submission: the job is stored. */
  record ConfirmSubmission(String jobId) implements Action {}

  /** Answers a cancellation: it is stored. */
  record ConfirmCancellation(String jobId) implements Action {}

  /**
   * Tells that a job has ended and that this is stored.
   *
   * @param queue name of its queue
   * @param team team that it counts for
   * @param ageMillis time since its acceptance, in milliseconds
   * @param objectiveMillis time in which it was to end, in milliseconds
   * @param waited times for which its steps have waited for this coordinator, by cause
   */
  record ReportJobEnd(
      String jobId,
      JobPhase phase,
      String queue,
      String team,
      long ageMillis,
      long objectiveMillis,
      String waited)
      implements Action {}

  /**
   * Tells that a step waits.
   *
   * @param inputs what keeps it from being placed, as {@code name=value} pairs
   */
  record ReportWaitingStep(String step, String inputs) implements Action {}
}
