package org.cicadaford.entry.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.cicadaford.decision.ApplyResult;
import org.cicadaford.decision.RequestLedger;
import org.cicadaford.decision.RequestLedger.CallEntry;
import org.cicadaford.entry.call.RequestAppendException;
import org.cicadaford.entry.call.RequestAppender;
import org.cicadaford.entry.stream.AppendResult;
import org.cicadaford.entry.stream.AppendResult.Appended;
import org.cicadaford.entry.stream.AppendResult.NotAppended;
import org.cicadaford.entry.stream.AppendResult.Unknown;
import org.cicadaford.entry.stream.LogWriter;
import org.cicadaford.entry.stream.StreamListener;
import org.cicadaford.entry.stream.StreamPosition;
import org.cicadaford.model.RequestRecord;
import org.cicadaford.model.RequestRecord.CallClaimed;
import org.cicadaford.model.RequestRecord.JobCancelled;
import org.cicadaford.model.RequestRecord.JobSubmitted;

/**
 * Maintains the request ledger from the {@code requests} stream and appends to the stream.
 *
 * <p>Records are applied on the follower's thread; the other methods are thread-safe.
 */
public final class RequestLedgerService implements StreamListener<RequestRecord>, RequestAppender {

  /** Name of the stream. */
  public static final String STREAM = "requests";

  /** Size limit of the requests returned at once, since they must fit in one log record. */
  private static final long MAX_RESULT_BYTES = 256 * 1024;

  private static final long EXPIRE_INTERVAL_MILLIS = 10_000;

  private final LogWriter writer;
  private final long readBackTimeoutMillis;
  private final Object lock = new Object();
  private final RequestLedger ledger = new RequestLedger();
  private final Deque<JobRequest> jobRequests = new ArrayDeque<>();
  private final Map<String, CompletableFuture<ReadBack>> pendingReadBacks =
      new ConcurrentHashMap<>();
  private volatile StreamPosition position = new StreamPosition(0, false, 0);
  private volatile long confirmedAtMillis;
  private long expiredAtMillis;

  private record JobRequest(long offset, RequestRecord record) {}

  /**
   * Holds accepted submissions and cancellations.
   *
   * @param records records in the order of their offsets
   * @param nextOffset offset after the last request that was examined
   */
  public record JobRequests(List<RequestRecord> records, long nextOffset) {}

  /**
   * Creates a service with an empty ledger.
   *
   * @param readBackTimeoutMillis time after which the outcome of an append that was not read back
   *     is reported as unknown
   */
  public RequestLedgerService(LogWriter writer, long readBackTimeoutMillis) {
    this.writer = writer;
    this.readBackTimeoutMillis = readBackTimeoutMillis;
  }

  @Override
  public CompletableFuture<ReadBack> append(RequestRecord record) {
    if (record instanceof CallClaimed && !hasReadAllClaims()) {
      return CompletableFuture.failedFuture(
          new RequestAppendException(
              false,
              "this instance started to read after expired claims, and does not know yet which"
                  + " ids are in use; send the call to another instance",
              null));
    }
    CompletableFuture<ReadBack> readBack = new CompletableFuture<>();
    pendingReadBacks.put(record.recordId(), readBack);
    writer.append(STREAM, record).thenAccept(result -> onAppendResult(result, readBack));
    return readBack
        .orTimeout(readBackTimeoutMillis, TimeUnit.MILLISECONDS)
        .exceptionallyCompose(RequestLedgerService::toAppendException)
        .whenComplete((done, failure) -> pendingReadBacks.remove(record.recordId()));
  }

  private boolean hasReadAllClaims() {
    synchronized (lock) {
      return ledger.isComplete() || position.atEnd() && position.nextOffset() == 0;
    }
  }

  private static void onAppendResult(AppendResult result, CompletableFuture<ReadBack> readBack) {
    switch (result) {
      case NotAppended refused ->
          readBack.completeExceptionally(
              new RequestNotAppendedException(refused.cause(), refused.detail()));
      case Appended appended -> {}
      case Unknown unknown -> {}
    }
  }

  private static CompletableFuture<ReadBack> toAppendException(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    boolean mayTakeEffect = !(cause instanceof RequestNotAppendedException);
    String message =
        mayTakeEffect
            ? "the record was not read back in time; its outcome is not known yet"
            : cause.getMessage();
    return CompletableFuture.failedFuture(
        new RequestAppendException(mayTakeEffect, message, cause));
  }

  @Override
  public void onRecord(long offset, RequestRecord record, long readAtMillis) {
    ApplyResult verdict;
    Optional<CallEntry> current;
    synchronized (lock) {
      verdict = ledger.apply(offset, record, readAtMillis);
      current =
          record instanceof CallClaimed claim ? ledger.call(claim.requestId()) : Optional.empty();
      if (verdict.isAccepted() && (record instanceof JobSubmitted || isCancellation(record))) {
        jobRequests.add(new JobRequest(offset, record));
      }
    }
    CompletableFuture<ReadBack> readBack = pendingReadBacks.remove(record.recordId());
    if (readBack != null) {
      readBack.complete(new ReadBack(offset, verdict, current));
    }
  }

  private static boolean isCancellation(RequestRecord record) {
    return record instanceof JobCancelled;
  }

  @Override
  public void onPage(StreamPosition newPosition) {
    position = newPosition;
    if (newPosition.atEnd()) {
      confirmedAtMillis = newPosition.requestedAtMillis();
    }
    if (newPosition.requestedAtMillis() - expiredAtMillis >= EXPIRE_INTERVAL_MILLIS) {
      expiredAtMillis = newPosition.requestedAtMillis();
      synchronized (lock) {
        ledger.expire(expiredAtMillis);
      }
    }
  }

  @Override
  public void onRecordsExpired(long earliestOffset) {
    // Claims older than the retention period are outside the window of accepted ids.
    position = new StreamPosition(earliestOffset, false, 0);
  }

  /** Returns the read position of the stream. */
  public StreamPosition position() {
    return position;
  }

  /** Returns the time at which the log last confirmed that all requests were read; 0 if never. */
  public long confirmedAtMillis() {
    return confirmedAtMillis;
  }

  /**
   * Returns up to {@code maxCount} accepted submissions with tasks for {@code zone}, and
   * cancellations, from {@code fromOffset} on.
   */
  public JobRequests jobRequests(String zone, long fromOffset, int maxCount) {
    List<RequestRecord> records = new ArrayList<>();
    long readUntil = Math.max(fromOffset, position.nextOffset());
    long bytes = 0;
    synchronized (lock) {
      for (JobRequest request : jobRequests) {
        if (request.offset() < fromOffset || !isForZone(zone, request.record())) {
          continue;
        }
        bytes += estimatedBytes(request.record());
        boolean full = records.size() == maxCount || bytes > MAX_RESULT_BYTES && !records.isEmpty();
        if (full) {
          return new JobRequests(records, request.offset());
        }
        records.add(request.record());
        readUntil = Math.max(readUntil, request.offset() + 1);
      }
    }
    return new JobRequests(records, readUntil);
  }

  private static long estimatedBytes(RequestRecord record) {
    return record instanceof JobSubmitted submitted
        ? 512
            + submitted.description().program().length()
            + 3L * submitted.description().taskCount()
        : 128;
  }

  private static boolean isForZone(String zone, RequestRecord record) {
    return !(record instanceof JobSubmitted submitted)
        || submitted.taskIndexesByZone().containsKey(zone);
  }

  /** Removes submissions and cancellations before {@code offset}, which the zone has processed. */
  public void forgetJobRequestsBefore(long offset) {
    synchronized (lock) {
      while (!jobRequests.isEmpty() && jobRequests.peek().offset() < offset) {
        jobRequests.remove();
      }
    }
  }

  /** Returns the accepted submission of a request id. */
  public Optional<JobSubmitted> submission(String requestId) {
    synchronized (lock) {
      return ledger.submission(requestId);
    }
  }

  /** Returns the submission of a job, while it is retained. */
  public Optional<JobSubmitted> job(String jobId) {
    synchronized (lock) {
      return ledger.job(jobId);
    }
  }

  /** Returns whether a cancellation of the job is retained. */
  public boolean isJobCancelled(String jobId) {
    synchronized (lock) {
      return ledger.isCancelled(jobId);
    }
  }

  @Override
  public Optional<CallEntry> recordedCall(String requestId) {
    synchronized (lock) {
      return ledger.call(requestId);
    }
  }
}
