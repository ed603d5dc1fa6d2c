package org.cicadaford.entry.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.cicadaford.decision.JobStatus;
import org.cicadaford.decision.TaskStatus;
import org.cicadaford.decision.ZoneState;
import org.cicadaford.entry.Refusal;
import org.cicadaford.entry.RefusalKind;
import org.cicadaford.entry.RefusedException;
import org.cicadaford.entry.job.JobReport.TaskPart;
import org.cicadaford.entry.job.JobReport.ZonePart;
import org.cicadaford.entry.request.RequestLedgerService;
import org.cicadaford.entry.zone.ZoneBusyException;
import org.cicadaford.entry.zone.ZoneOwnerService;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobState;
import org.cicadaford.model.RequestRecord.JobSubmitted;

/** Collects the state of a job from this zone and from other zones. */
public final class JobReporter {

  private final String zone;
  private final RequestLedgerService requests;
  private final ZoneOwnerService zoneOwner;
  private final ZonePartLookup otherZones;

  /** Holds the team that a job is charged to and the queue on which it was accepted. */
  record JobOwner(String team, String queue) {

    static JobOwner of(JobDescription job) {
      return new JobOwner(job.team(), job.queue());
    }
  }

  private record LocalPart(JobStatus job, ZonePart part) {}

  /** Creates a reporter for an instance in {@code zone}. */
  public JobReporter(
      String zone,
      RequestLedgerService requests,
      ZoneOwnerService zoneOwner,
      ZonePartLookup otherZones) {
    this.zone = zone;
    this.requests = requests;
    this.zoneOwner = zoneOwner;
    this.otherZones = otherZones;
  }

  /** Returns the team and queue of a job; completes exceptionally if the job is not known. */
  CompletableFuture<JobOwner> findOwner(String jobId) {
    Optional<JobSubmitted> submitted = requests.job(jobId);
    if (submitted.isPresent()) {
      return CompletableFuture.completedFuture(JobOwner.of(submitted.get().description()));
    }
    return queryZone(state -> state.job(jobId))
        .thenApply(
            job ->
                job.map(status -> JobOwner.of(status.description()))
                    .orElseThrow(() -> new CompletionException(unknownJob(jobId))));
  }

  /** Returns the state of a job; completes exceptionally if the job is not known. */
  CompletableFuture<JobReport> report(String jobId) {
    Optional<JobSubmitted> submitted = requests.job(jobId);
    return queryZone(state -> findPart(state, jobId))
        .thenCompose(local -> assemble(jobId, submitted, local));
  }

  /** Returns this zone's part of a job. */
  public CompletableFuture<Optional<ZonePart>> findLocalPart(String jobId) {
    return queryZone(state -> findPart(state, jobId))
        .thenApply(local -> local.map(LocalPart::part));
  }

  private <T> CompletableFuture<T> queryZone(Function<ZoneState, T> reader) {
    return zoneOwner
        .query(reader)
        .exceptionallyCompose(
            failure ->
                CompletableFuture.failedFuture(
                    failure instanceof ZoneBusyException
                        ? new RefusedException(
                            Refusal.retryable(RefusalKind.OVERLOADED, failure.getMessage(), 1_000))
                        : failure));
  }

  private CompletableFuture<JobReport> assemble(
      String jobId, Optional<JobSubmitted> submitted, Optional<LocalPart> local) {
    if (submitted.isEmpty()) {
      return local
          .map(part -> toReport(part.job(), List.of(part.part())))
          .map(CompletableFuture::completedFuture)
          .orElseGet(() -> CompletableFuture.failedFuture(unknownJob(jobId)));
    }
    JobSubmitted job = submitted.get();
    List<CompletableFuture<ZonePart>> parts = new ArrayList<>();
    job.taskIndexesByZone()
        .forEach((name, indexes) -> parts.add(findZonePart(name, indexes, jobId, local)));
    return CompletableFuture.allOf(parts.toArray(CompletableFuture[]::new))
        .thenApply(
            done ->
                toReport(
                    jobId,
                    job.description(),
                    job.submittedAtMillis(),
                    parts.stream().map(CompletableFuture::join).toList()));
  }

  private CompletableFuture<ZonePart> findZonePart(
      String name, List<Integer> indexes, String jobId, Optional<LocalPart> local) {
    if (name.equals(zone)) {
      boolean cancelled = requests.isJobCancelled(jobId);
      return CompletableFuture.completedFuture(
          local.map(LocalPart::part).orElseGet(() -> notAdmittedPart(name, indexes, cancelled)));
    }
    return otherZones
        .find(name, jobId)
        .thenApply(found -> found.orElseGet(() -> unreachableZonePart(name, indexes)));
  }

  private static ZonePart notAdmittedPart(String zone, List<Integer> indexes, boolean cancelled) {
    String state = cancelled ? "cancelled" : "waiting";
    return new ZonePart(
        zone,
        state,
        "the zone's owner has not admitted the job yet",
        indexes.stream().map(index -> taskWithState(zone, index, state)).toList());
  }

  private static ZonePart unreachableZonePart(String zone, List<Integer> indexes) {
    return new ZonePart(
        zone,
        "unknown",
        "zone "
            + zone
            + " cannot be reached from this instance; ask an entry instance of that zone",
        indexes.stream().map(index -> taskWithState(zone, index, "unknown")).toList());
  }

  private static TaskPart taskWithState(String zone, int index, String state) {
    return new TaskPart(index, state, 0, "", zone, 0, 0, "", "");
  }

  private Optional<LocalPart> findPart(ZoneState state, String jobId) {
    return state.job(jobId).map(job -> new LocalPart(job, toPart(job, state.tasksOf(jobId))));
  }

  private ZonePart toPart(JobStatus job, Collection<TaskStatus> tasks) {
    return new ZonePart(
        zone, lowerCaseName(job.state()), job.reason(), tasks.stream().map(this::toPart).toList());
  }

  private TaskPart toPart(TaskStatus task) {
    return new TaskPart(
        task.taskId().index(),
        lowerCaseName(task.phase()),
        task.attempt(),
        task.workerId(),
        zone,
        task.placedAtMillis(),
        task.endedAtMillis(),
        task.lastEnd() == null ? "" : lowerCaseName(task.lastEnd()),
        task.answer());
  }

  private static JobReport toReport(JobStatus job, List<ZonePart> parts) {
    return toReport(job.jobId(), job.description(), job.submittedAtMillis(), parts);
  }

  private static JobReport toReport(
      String jobId, JobDescription job, long submittedAtMillis, List<ZonePart> parts) {
    ZonePart decisivePart = decisivePart(parts);
    return new JobReport(
        jobId,
        job.name(),
        job.team(),
        lowerCaseName(job.kind()),
        decisivePart.state(),
        decisivePart.reason(),
        submittedAtMillis,
        parts);
  }

  /** Returns the part whose state determines the state of the whole job. */
  private static ZonePart decisivePart(List<ZonePart> parts) {
    List<String> precedence =
        List.of(
            lowerCaseName(JobState.FAILED),
            lowerCaseName(JobState.IMPOSSIBLE),
            lowerCaseName(JobState.CANCELLED),
            lowerCaseName(JobState.ACTIVE),
            "waiting",
            "unknown",
            lowerCaseName(JobState.COMPLETED));
    return parts.stream()
        .min((a, b) -> precedence.indexOf(a.state()) - precedence.indexOf(b.state()))
        .orElseThrow();
  }

  private static String lowerCaseName(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static RefusedException unknownJob(String jobId) {
    return new RefusedException(
        Refusal.notRun(
            RefusalKind.UNKNOWN_JOB,
            "job "
                + jobId
                + " is unknown here, or ended more than an hour ago; check the id and ask an"
                + " entry instance of a zone where it ran"));
  }
}
