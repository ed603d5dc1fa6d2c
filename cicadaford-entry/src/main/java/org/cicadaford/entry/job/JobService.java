package org.cicadaford.entry.job;

import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.cicadaford.entry.Refusal;
import org.cicadaford.entry.RefusalKind;
import org.cicadaford.entry.RefusedException;
import org.cicadaford.entry.call.RequestAppendException;
import org.cicadaford.entry.call.RequestAppender.ReadBack;
import org.cicadaford.entry.config.ConfigStore;
import org.cicadaford.entry.config.ConfigView;
import org.cicadaford.entry.membership.MembershipPoller;
import org.cicadaford.entry.request.RequestLedgerService;
import org.cicadaford.entry.request.RequestNotAppendedException;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.RequestRecord;
import org.cicadaford.model.RequestRecord.JobCancelled;
import org.cicadaford.model.RequestRecord.JobSubmitted;

/** Accepts jobs, cancels them and reports their state. */
public final class JobService {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final ConfigStore config;
  private final RequestLedgerService requests;
  private final MembershipPoller membership;
  private final JobReporter reporter;

  /** Creates the service. */
  public JobService(
      ConfigStore config,
      RequestLedgerService requests,
      MembershipPoller membership,
      JobReporter reporter) {
    this.config = config;
    this.requests = requests;
    this.membership = membership;
    this.reporter = reporter;
  }

  /**
   * Accepts a job and completes once it is recorded. A duplicate request gets the receipt of the
   * first one. Completes exceptionally with {@link RefusedException}.
   *
   * @throws RefusedException if the job is refused immediately
   */
  public CompletableFuture<JobReceipt> submit(JobRequest request, long nowMillis)
      throws RefusedException {
    ConfigView view = config.view();
    JobDescription job = resolveDescription(request, view);
    checkQueueAndTeam(job, view);
    TeamKeyVerifier.check(view, job.queue(), job.team(), request.key(), nowMillis);
    var earlier = requests.submission(request.requestId());
    if (earlier.isPresent()) {
      return CompletableFuture.completedFuture(receipt(earlier.get(), job));
    }
    Map<String, List<Integer>> zones =
        ZoneAssigner.assign(
            job, view.state(), membership.current().members(), request.requestId().hashCode());
    JobSubmitted record =
        new JobSubmitted(
            "submit-" + UUID.randomUUID(),
            request.requestId(),
            "job-" + request.requestId(),
            job,
            zones,
            nowMillis);
    return append(record).thenApply(appended -> toReceipt(record, appended));
  }

  private static JobDescription resolveDescription(JobRequest request, ConfigView view)
      throws RefusedException {
    if (request.description() != null) {
      DescriptionValidator.validate(request.description());
      return request.description();
    }
    return view.state()
        .description(request.publishedName())
        .orElseThrow(
            () ->
                new RefusedException(
                    Refusal.notRun(
                        RefusalKind.UNKNOWN_DESCRIPTION,
                        "no description named "
                            + request.publishedName()
                            + " is published; publish it or correct the name")));
  }

  private static void checkQueueAndTeam(JobDescription job, ConfigView view)
      throws RefusedException {
    if (view.state().queue(job.queue()).isEmpty()) {
      throw new RefusedException(
          Refusal.notRun(
              RefusalKind.UNKNOWN_QUEUE,
              "queue " + job.queue() + " is not published; publish it or name another queue"));
    }
    if (view.state().team(job.team()).isEmpty()) {
      throw new RefusedException(
          Refusal.notRun(
              RefusalKind.UNKNOWN_TEAM,
              "team " + job.team() + " is not published; publish it or correct the name"));
    }
  }

  private JobReceipt toReceipt(JobSubmitted record, ReadBack appended) {
    if (appended.verdict().isAccepted()) {
      return new JobReceipt(record.jobId(), record.requestId(), record.taskIndexesByZone());
    }
    try {
      JobSubmitted original =
          requests
              .submission(record.requestId())
              .orElseThrow(() -> new RefusedException(outcomeUnknown()));
      return receipt(original, record.description());
    } catch (RefusedException e) {
      throw new CompletionException(e);
    }
  }

  private static JobReceipt receipt(JobSubmitted original, JobDescription requested)
      throws RefusedException {
    JobDescription originalJob = original.description();
    if (!originalJob.team().equals(requested.team())
        || !originalJob.name().equals(requested.name())) {
      throw new RefusedException(
          Refusal.notRun(
              RefusalKind.REQUEST_ID_REUSED,
              "request id " + original.requestId() + " belongs to another job; use a new id"));
    }
    return new JobReceipt(original.jobId(), original.requestId(), original.taskIndexesByZone());
  }

  /**
   * Cancels a job and completes once the cancellation is recorded. Completes exceptionally with
   * {@link RefusedException}.
   */
  public CompletableFuture<Void> cancel(String jobId, String key, long nowMillis) {
    return authorise(jobId, key, nowMillis)
        .thenCompose(
            owner -> append(new JobCancelled("cancel-" + UUID.randomUUID(), jobId, owner.team())))
        .thenApply(appended -> null);
  }

  /**
   * Returns the state of a job and its tasks. Completes exceptionally with {@link
   * RefusedException}.
   */
  public CompletableFuture<JobReport> report(String jobId, String key, long nowMillis) {
    return authorise(jobId, key, nowMillis).thenCompose(owner -> reporter.report(jobId));
  }

  private CompletableFuture<JobReporter.JobOwner> authorise(
      String jobId, String key, long nowMillis) {
    ConfigView view = config.view();
    return reporter
        .findOwner(jobId)
        .thenApply(
            owner -> {
              try {
                TeamKeyVerifier.check(view, owner.queue(), owner.team(), key, nowMillis);
                return owner;
              } catch (RefusedException e) {
                throw new CompletionException(e);
              }
            });
  }

  private CompletableFuture<ReadBack> append(RequestRecord record) {
    return requests.append(record).exceptionallyCompose(this::toRefusal);
  }

  private CompletableFuture<ReadBack> toRefusal(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    Refusal refusal =
        cause instanceof RequestAppendException
                && cause.getCause() instanceof RequestNotAppendedException refused
            ? notAppended(refused)
            : outcomeUnknown();
    return CompletableFuture.failedFuture(new RefusedException(refusal));
  }

  private static Refusal notAppended(RequestNotAppendedException refused) {
    RefusalKind kind =
        switch (refused.reason()) {
          case LOG_UNAVAILABLE -> RefusalKind.LOG_UNAVAILABLE;
          case OVERLOADED -> RefusalKind.OVERLOADED;
          case STOPPING -> RefusalKind.STOPPING;
        };
    return Refusal.retryable(kind, refused.getMessage(), RETRY_AFTER_MILLIS);
  }

  private static Refusal outcomeUnknown() {
    return Refusal.unknownOutcome(
        RefusalKind.OUTCOME_UNKNOWN,
        "the log did not confirm the request in time; retry with the same request id",
        RETRY_AFTER_MILLIS);
  }
}
