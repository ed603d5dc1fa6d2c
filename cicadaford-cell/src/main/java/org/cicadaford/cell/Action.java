package org.cicadaford.cell;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/** An operation that the coordinator requests from its environment. */
public sealed interface Action {

  /**
   * Orders a worker to start a task.
   *
   * @param address address of the worker
   * @param ticket ticket to send with the order, or an empty string
   * @param deadlineMillis time on the clock of the worker after which it must not start the task
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

  /** Orders a worker to stop a run, or to refuse it if it has not started yet. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record StopTask(String workerId, String address, String task, int run, StopReason reason)
      implements Action {}

  /**
   * Requests advice on which workers may run a step.
   *
   * @param callId id that the answer refers to
   * @param callerId instance that makes the call
   * @param step name of the step
   * @param timeoutMillis timeout of the call
   */
  record RequestAdvice(
      long callId, String callerId, String step, List<String> workerIds, long timeoutMillis)
      implements Action {}

  /**
   * Renews the lease of a worker and requests its report.
   *
   * @param acknowledgedEnd number of the last run end that the worker may discard
   * @param deadlineMillis end of the lease on the clock of the worker, or 0 if its clock is unknown
   * @param waitMillis time for which the worker may delay its answer until a run ends
   * @param timeoutMillis timeout of the request
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

    /** Returns a copy of this renewal that is answered immediately. */
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

  /** Confirms to the submitter that the job is stored. */
  record ConfirmSubmission(String jobId) implements Action {}

  /** Confirms to a team that its cancellation of a job of a queue is stored. */
  record ConfirmCancellation(String jobId, String queue, String team) implements Action {}

  /** Rejects the requests on a job that wait for a record which the store refuses. */
  record RejectRequests(String jobId, String queue, String team) implements Action {}

  /** Rejects a team's cancellation of an unknown job, whose record the store refuses. */
  record RejectCancellation(String jobId, String queue, String team) implements Action {}

  /**
   * Reports that the end of a job is stored.
   *
   * @param queue name of its queue
   * @param team team that it is accounted to
   * @param ageMillis time since its acceptance, in milliseconds
   * @param objectiveMillis time in which it was to end, in milliseconds
   * @param waited time that its steps waited under this coordinator, by cause
   * @param phases time that its steps spent under this coordinator, by phase
   */
  record ReportJobEnd(
      String jobId,
      JobPhase phase,
      String queue,
      String team,
      long ageMillis,
      long objectiveMillis,
      String waited,
      String phases)
      implements Action {}

  /**
   * Reports that a run ended without completing its task.
   *
   * @param cause reason of its stop, or how it ended if it was not stopped
   * @param ranMillis time since its start order, in milliseconds
   * @param lostCoreMillis work that is not saved, in milliseconds of one core
   */
  record ReportLostRun(
      String task, int run, String workerId, String cause, long ranMillis, long lostCoreMillis)
      implements Action {}

  /**
   * Reports that a step is waiting.
   *
   * @param inputs state that explains the wait, as {@code name=value} pairs
   */
  record ReportWaitingStep(String step, String inputs) implements Action {}

  /**
   * Reports a decision on a worker or a run for the log and the metrics.
   *
   * @param category kind of decision, for example {@code release}
   * @param id id of the worker or name of the task
   * @param inputs inputs to the decision, as {@code name=value} pairs
   */
  record ReportDecision(String category, String id, String outcome, String inputs)
      implements Action {}
}
