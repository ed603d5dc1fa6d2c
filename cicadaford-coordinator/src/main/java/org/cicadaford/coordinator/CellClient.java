package org.cicadaford.coordinator;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.cicadaford.cell.JobSpec;
import org.cicadaford.cell.Queue;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.wire.PeerMessage;

/**
 * Sends requests to the cell coordinator and retries them across a change of coordinator.
 *
 * <p>Requests are idempotent by job id, so an unanswered request is retried. A request that was
 * certainly not executed is refused early. One that may have been executed is retried for the usual
 * length of a takeover and then answered as {@link CellOutcome#UNKNOWN}, early enough for the
 * caller to retry on another instance.
 */
public final class CellClient {

  /** Margin before the caller's deadline by which every request is answered, in milliseconds. */
  private static final long RESPONSE_MARGIN_MILLIS = 100;

  /** Timeout when neither the caller nor the queue sets one, in milliseconds. */
  private static final long DEFAULT_TIMEOUT_MILLIS = 3_000;

  /** Time to wait for a coordinator before refusing a request, in milliseconds. */
  private static final long NO_COORDINATOR_TIMEOUT_MILLIS = 250;

  /**
   * Time to wait for a coordinator while a takeover is expected, in milliseconds. Most takeovers
   * end within 0.9 s, and a refused caller retries after one second.
   */
  private static final long TAKEOVER_WAIT_TIMEOUT_MILLIS = 1_000;

  /**
   * Time after which a request that may have been executed is answered as unknown, in milliseconds;
   * most takeovers end within 1.5 s.
   */
  private static final long UNKNOWN_OUTCOME_TIMEOUT_MILLIS = 1_600;

  /** Timeout of a single attempt, in milliseconds. */
  private static final long ATTEMPT_TIMEOUT_MILLIS = 1_200;

  /**
   * Maximum time for which the state of a running job is awaited, in milliseconds. Callers often
   * ask when the last task has just ended, and the end is stored 10 to 100 ms later. A caller that
   * is told that the job runs asks again only after its own interval.
   */
  private static final long MAX_PHASE_WAIT_MILLIS = 100;

  /** Fraction of the caller's timeout for which the state of a running job is awaited. */
  private static final double PHASE_WAIT_FRACTION = 0.1;

  /** Delay between attempts, in milliseconds. */
  private static final long RETRY_INTERVAL_MILLIS = 60;

  /** Sends one message, or returns null if no coordinator is reachable. */
  private final Function<PeerMessage, CompletableFuture<CellReply>> route;

  private final BooleanSupplier takeoverExpected;
  private final ScheduledExecutorService loop;
  private final LongSupplier nowMillis;

  /**
   * Creates the client.
   *
   * @param route sends a message to the coordinator, or returns null if none is reachable
   * @param takeoverExpected returns whether another coordinator is expected soon
   */
  public CellClient(
      Function<PeerMessage, CompletableFuture<CellReply>> route,
      BooleanSupplier takeoverExpected,
      ScheduledExecutorService loop,
      LongSupplier nowMillis) {
    this.route = route;
    this.takeoverExpected = takeoverExpected;
    this.loop = loop;
    this.nowMillis = nowMillis;
  }

  /**
   * Returns the time within which every request is answered, in milliseconds.
   *
   * @param callerTimeoutMillis timeout that the caller states
   */
  public static long responseTimeoutMillis(Queue queue, OptionalLong callerTimeoutMillis) {
    long limitMillis = queue.timeoutMillis() > 0 ? queue.timeoutMillis() : DEFAULT_TIMEOUT_MILLIS;
    long waitMillis = Math.min(limitMillis, callerTimeoutMillis.orElse(limitMillis));
    return Math.max(RESPONSE_MARGIN_MILLIS, waitMillis - RESPONSE_MARGIN_MILLIS);
  }

  /** Submits a job. */
  public CompletableFuture<CellReply> submit(
      String jobId, String queue, String team, JobSpec spec, long timeoutMillis) {
    return send(
        new PeerMessage.SubmitJob(jobId, queue, team, RecordCodec.encode(spec)), timeoutMillis);
  }

  /** Cancels a job. */
  public CompletableFuture<CellReply> cancel(
      String jobId, String queue, String team, long timeoutMillis) {
    return send(new PeerMessage.CancelJob(jobId, queue, team), timeoutMillis);
  }

  /** Requests the state of a job; the answer may be delayed shortly until the job has ended. */
  public CompletableFuture<CellReply> jobPhase(
      String jobId, String queue, String team, long timeoutMillis) {
    long waitMillis = Math.min(MAX_PHASE_WAIT_MILLIS, (long) (timeoutMillis * PHASE_WAIT_FRACTION));
    return send(new PeerMessage.JobPhaseRequest(jobId, queue, team, waitMillis), timeoutMillis);
  }

  /** Requests the number of jobs in a queue that have not started. */
  public CompletableFuture<CellReply> pendingCount(String queue, long timeoutMillis) {
    return send(new PeerMessage.PendingCountRequest(queue), timeoutMillis);
  }

  /** Sends a request; the future completes within {@code timeoutMillis}. */
  public CompletableFuture<CellReply> send(PeerMessage message, long timeoutMillis) {
    Exchange exchange = new Exchange(message, nowMillis.getAsLong(), timeoutMillis);
    exchange.sendAttempt();
    return exchange.result;
  }

  /** Tracks one request and its attempts. */
  private final class Exchange {

    private final PeerMessage message;
    private final long startedAtMillis;
    private final long deadlineMillis;
    private final CompletableFuture<CellReply> result = new CompletableFuture<>();
    private boolean mayBeExecuted;

    private Exchange(PeerMessage message, long startedAtMillis, long timeoutMillis) {
      this.message = message;
      this.startedAtMillis = startedAtMillis;
      this.deadlineMillis = startedAtMillis + timeoutMillis;
    }

    private void sendAttempt() {
      long now = nowMillis.getAsLong();
      boolean unknownTooLong =
          mayBeExecuted && now - startedAtMillis >= UNKNOWN_OUTCOME_TIMEOUT_MILLIS;
      if (now >= deadlineMillis || unknownTooLong) {
        fail("the coordinator did not answer in time");
        return;
      }
      CompletableFuture<CellReply> reply = route.apply(message);
      if (reply == null) {
        scheduleRetry();
        return;
      }
      CompletableFuture<CellReply> limited = reply.copy();
      loop.schedule(
          () -> limited.complete(CellReply.of(CellOutcome.UNKNOWN, "the attempt timed out")),
          attemptTimeoutMillis(now),
          TimeUnit.MILLISECONDS);
      limited.whenCompleteAsync(this::handleReply, loop);
    }

    /**
     * Returns the timeout of an attempt, limited so that an unknown outcome is reported in time.
     */
    private long attemptTimeoutMillis(long now) {
      long untilMillis = Math.min(deadlineMillis, startedAtMillis + UNKNOWN_OUTCOME_TIMEOUT_MILLIS);
      return Math.min(ATTEMPT_TIMEOUT_MILLIS, Math.max(RETRY_INTERVAL_MILLIS, untilMillis - now));
    }

    private void handleReply(CellReply reply, Throwable failure) {
      CellOutcome outcome = failure == null ? reply.outcome() : CellOutcome.UNKNOWN;
      switch (outcome) {
        case DONE, NO_SUCH_JOB, INVALID -> result.complete(reply);
        case REFUSED -> {
          if (mayBeExecuted) {
            scheduleRetry();
          } else {
            result.complete(reply);
          }
        }
        case NOT_COORDINATOR -> scheduleRetry();
        case UNKNOWN -> {
          mayBeExecuted = true;
          scheduleRetry();
        }
        default -> throw new IllegalStateException("unknown outcome " + outcome);
      }
    }

    private void scheduleRetry() {
      long now = nowMillis.getAsLong();
      long waitMillis =
          takeoverExpected.getAsBoolean()
              ? TAKEOVER_WAIT_TIMEOUT_MILLIS
              : NO_COORDINATOR_TIMEOUT_MILLIS;
      if (!mayBeExecuted && now - startedAtMillis >= waitMillis) {
        fail("no coordinator is reachable");
        return;
      }
      loop.schedule(this::sendAttempt, RETRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void fail(String reason) {
      CellOutcome outcome = mayBeExecuted ? CellOutcome.UNKNOWN : CellOutcome.REFUSED;
      result.complete(CellReply.of(outcome, reason));
    }
  }
}
