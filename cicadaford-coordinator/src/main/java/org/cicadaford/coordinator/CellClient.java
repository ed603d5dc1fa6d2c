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
 * Sends requests to the cell coordinator, wherever it is.
 *
 * <p>Requests are idempotent by the id of the job, so one without an answer is repeated. A request
 * that certainly has not been done is refused soon; one that may have been done is repeated for as
 * long as a takeover lasts, so that the caller learns the truth. After that the caller is told that
 * the outcome is not known, and has time left to ask again, also elsewhere.
 */
public final class CellClient {

  /** Time before the caller's own deadline at which it is answered in any case. */
  private static final long ANSWER_MARGIN_MILLIS = 100;

  /** Time that a caller waits if neither it nor its queue states one, in milliseconds. */
  private static final long DEFAULT_TIMEOUT_MILLIS = 3_000;

  /** Time to wait for a coordinator before a request is refused, in milliseconds. */
  private static final long NO_COORDINATOR_MILLIS = 250;

  /**
   * The same while another coordinator is expected. Most takeovers end within 0.9 s, and a caller
   * that is refused comes back after a second.
   */
  private static final long TAKEOVER_WAIT_MILLIS = 1_000;

  /**
   * Time after which a request that may have been done is answered as unknown, in milliseconds;
   * most takeovers end within 1.5 s.
   */
  private static final long TAKEOVER_MILLIS = 1_600;

  /** Time after which one attempt is given up, in milliseconds. */
  private static final long ATTEMPT_MILLIS = 1_200;

  /** Time between attempts, in milliseconds. */
  private static final long RETRY_MILLIS = 60;

  /** Sends one message; returns null if no coordinator can be reached now. */
  private final Function<PeerMessage, CompletableFuture<CellReply>> route;

  private final BooleanSupplier takeoverExpected;
  private final ScheduledExecutorService loop;
  private final LongSupplier nowMillis;

  /**
   * Creates the client.
   *
   * @param route sends a message to the coordinator, or returns null if none can be reached
   * @param takeoverExpected returns whether another coordinator will be there soon
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
   * Returns the time within which a request is answered in any case, in milliseconds.
   *
   * @param statedMillis time that the caller says it waits
   */
  public static long responseTimeoutMillis(Queue queue, OptionalLong statedMillis) {
    long limitMillis = queue.timeoutMillis() > 0 ? queue.timeoutMillis() : DEFAULT_TIMEOUT_MILLIS;
    long waitMillis = Math.min(limitMillis, statedMillis.orElse(limitMillis));
    return Math.max(ANSWER_MARGIN_MILLIS, waitMillis - ANSWER_MARGIN_MILLIS);
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

  /** Returns the state of a job. */
  public CompletableFuture<CellReply> jobPhase(
      String jobId, String queue, String team, long timeoutMillis) {
    return send(new PeerMessage.JobPhaseRequest(jobId, queue, team), timeoutMillis);
  }

  /** Returns the number of jobs of a queue that have not started. */
  public CompletableFuture<CellReply> pendingCount(String queue, long timeoutMillis) {
    return send(new PeerMessage.PendingCountRequest(queue), timeoutMillis);
  }

  /** Sends a request; the reply comes within {@code timeoutMillis}. */
  public CompletableFuture<CellReply> send(PeerMessage message, long timeoutMillis) {
    Exchange exchange = new Exchange(message, nowMillis.getAsLong(), timeoutMillis);
    exchange.attempt();
    return exchange.result;
  }

  /** One request with its attempts. */
  private final class Exchange {

    private final PeerMessage message;
    private final long startedAtMillis;
    private final long deadlineMillis;
    private final CompletableFuture<CellReply> result = new CompletableFuture<>();
    private boolean maybeDone;

    private Exchange(PeerMessage message, long startedAtMillis, long timeoutMillis) {
      this.message = message;
      this.startedAtMillis = startedAtMillis;
      this.deadlineMillis = startedAtMillis + timeoutMillis;
    }

    private void attempt() {
      long now = nowMillis.getAsLong();
      boolean unknownForLong = maybeDone && now - startedAtMillis >= TAKEOVER_MILLIS;
      if (now >= deadlineMillis || unknownForLong) {
        giveUp("no answer from the coordinator in time");
        return;
      }
      CompletableFuture<CellReply> reply = route.apply(message);
      if (reply == null) {
        tryAgain();
        return;
      }
      CompletableFuture<CellReply> limited = reply.copy();
      loop.schedule(
          () -> limited.complete(CellReply.of(CellOutcome.UNKNOWN, "no answer in time")),
          attemptMillis(now),
          TimeUnit.MILLISECONDS);
      limited.whenCompleteAsync(this::replied, loop);
    }

    /** Returns the time that an attempt may take, so that an unknown outcome is told in time. */
    private long attemptMillis(long now) {
      long untilMillis = Math.min(deadlineMillis, startedAtMillis + TAKEOVER_MILLIS);
      return Math.min(ATTEMPT_MILLIS, Math.max(RETRY_MILLIS, untilMillis - now));
    }

    private void replied(CellReply reply, Throwable failure) {
      CellOutcome outcome = failure == null ? reply.outcome() : CellOutcome.UNKNOWN;
      switch (outcome) {
        case DONE, NO_SUCH_JOB, INVALID -> result.complete(reply);
        case REFUSED -> {
          if (maybeDone) {
            tryAgain();
          } else {
            result.complete(reply);
          }
        }
        case NOT_COORDINATOR -> tryAgain();
        case UNKNOWN -> {
          maybeDone = true;
          tryAgain();
        }
        default -> throw new IllegalStateException("unknown outcome " + outcome);
      }
    }

    private void tryAgain() {
      long now = nowMillis.getAsLong();
      long waitMillis =
          takeoverExpected.getAsBoolean() ? TAKEOVER_WAIT_MILLIS : NO_COORDINATOR_MILLIS;
      if (!maybeDone && now - startedAtMillis >= waitMillis) {
        giveUp("no coordinator can be reached");
        return;
      }
      loop.schedule(this::attempt, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void giveUp(String reason) {
      CellOutcome outcome = maybeDone ? CellOutcome.UNKNOWN : CellOutcome.REFUSED;
      result.complete(CellReply.of(outcome, reason));
    }
  }
}
