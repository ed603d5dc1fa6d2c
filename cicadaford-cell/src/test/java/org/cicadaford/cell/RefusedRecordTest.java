package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.model.Resources;

/** Tests records that the store refuses for their content: only their job may be harmed. */
class RefusedRecordTest {

  private static final String ODD = "00000000000000a1";
  private static final String SOUND = "00000000000000b1";
  private static final long KEPT_MILLIS = 120_000;
  private static final CellConfig CONFIG = SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE);
  private static final Queue QUEUE = CONFIG.queue("q").orElseThrow();
  private static final Submitter SUBMITTER = new Submitter("team", "zone");
  private static final List<ListedWorker> WORKERS =
      List.of(
          new ListedWorker(
              "w",
              1,
              "svc",
              "w:1",
              "zone",
              false,
              0,
              new Resources(16_000, 32_000, 0),
              Set.of(),
              "rack"));

  private final Map<String, byte[]> records = new LinkedHashMap<>();
  private final List<Action> actions = new ArrayList<>();
  private final Map<String, ReportedRun> running = new LinkedHashMap<>();
  private Predicate<RecordWrite> refuses = write -> false;
  private long nowMillis = 1_000;
  private long acknowledged;
  private long endNumber;
  private Coordinator coordinator = coordinator();

  private Coordinator coordinator() {
    Coordinator created = new Coordinator(CoordinatorSettings.forPlatform(6_000, KEPT_MILLIS));
    created.restore(
        records.entrySet().stream()
            .map(entry -> new RecordWrite(entry.getKey(), entry.getValue()))
            .toList(),
        now());
    created.configure(CONFIG, Set.of());
    return created;
  }

  private ClockReading now() {
    return new ClockReading(nowMillis, 1_700_000_000_000L + nowMillis);
  }

  private void submit(String jobId) {
    JobSpec spec =
        SimulatedJobs.job(
            jobId,
            SimulatedJobs.step(2, 1_000, 5_000, false),
            SimulatedJobs.step(1, 1_000, 5_000, false, 0));
    assertThat(coordinator.submit(jobId, QUEUE, SUBMITTER, spec, now()))
        .isEqualTo(new AdmissionDecision.Storing());
  }

  private void advance(long millis) {
    for (long endMillis = nowMillis + millis; nowMillis < endMillis; nowMillis += 25) {
      coordinator.roleConfirmed(now());
      coordinator.workersListed(WORKERS, now(), now());
      coordinator.advance(now());
      take();
      coordinator.takeBatch().ifPresent(this::store);
      take();
    }
  }

  /** Stores a batch except the records of the jobs of which one is refused. */
  private void store(Batch batch) {
    List<String> refusedIds =
        batch.writes().stream().filter(refuses).map(RecordWrite::owner).toList();
    List<RecordWrite> refused =
        batch.writes().stream().filter(write -> refusedIds.contains(write.owner())).toList();
    for (RecordWrite write : batch.writes()) {
      if (refused.contains(write)) {
        continue;
      }
      records.put(write.key(), write.value());
      records.values().removeIf(value -> value.length == 0);
    }
    if (!refused.isEmpty()) {
      coordinator.recordsRefused(refused, now());
    }
    coordinator.batchStored(now());
  }

  private void take() {
    for (Action action : coordinator.takeActions()) {
      actions.add(action);
      if (action instanceof Action.StartTask start) {
        running.put(start.task(), new ReportedRun(start.task(), start.run(), "", 50, 0));
        coordinator.startAnswered(
            "w", start.task(), start.run(), StartOutcome.STARTED, nowMillis, now());
      } else if (action instanceof Action.StopTask stop) {
        coordinator.stopConfirmed(
            "w", stop.task(), stop.run(), coordinator.lastEventNumber(), now());
      } else if (action instanceof Action.Renew renew) {
        acknowledged = Math.max(acknowledged, renew.acknowledgedEnd());
        report(List.of());
      }
    }
  }

  private void report(List<ReportedEnd> ends) {
    WorkerReport report =
        new WorkerReport("w", 1, nowMillis, nowMillis, List.copyOf(running.values()), ends, true);
    coordinator.reportReceived(report, coordinator.lastEventNumber(), now());
  }

  private void end(String task, EndKind kind) {
    ReportedRun run = running.remove(task);
    report(List.of(new ReportedEnd(++endNumber, task, run.run(), kind, "")));
  }

  private boolean has(Action action) {
    return actions.contains(action);
  }

  private JobPhase phase(String jobId) {
    return coordinator.job(jobId).orElseThrow().phase();
  }

  private static boolean isFullProgress(RecordWrite write) {
    boolean general = write.value().length > 0 && !EndedJobCodec.isCompact(write.value());
    return write.key().equals("p/" + ODD)
        && general
        && new String(write.value(), StandardCharsets.ISO_8859_1).contains("RUNNING");
  }

  private void startBoth() {
    submit(ODD);
    submit(SOUND);
    advance(200);
    assertThat(running).hasSize(4);
  }

  /** Guards against one record that keeps all jobs of the cell from being stored. */
  @Example
  void onlyTheJobOfTheRefusedRecordFails() {
    startBoth();
    refuses = RefusedRecordTest::isFullProgress;
    end(ODD + ".0.0.0", EndKind.DONE);
    end(SOUND + ".0.0.0", EndKind.DONE);
    end(SOUND + ".0.0.1", EndKind.DONE);
    advance(200);
    assertThat(phase(ODD)).isEqualTo(JobPhase.FAILED);
    assertThat(actions)
        .anyMatch(
            action ->
                action instanceof Action.StopTask stop
                    && stop.task().equals(ODD + ".0.0.1")
                    && stop.reason() == StopReason.JOB_FAILED);
    end(SOUND + ".0.1.0", EndKind.DONE);
    end(ODD + ".0.0.1", EndKind.STOPPED);
    advance(1_000);
    assertThat(phase(SOUND)).isEqualTo(JobPhase.COMPLETED);
    assertThat(records).containsOnlyKeys("p/" + ODD, "p/" + SOUND);
  }

  /**
   * Guards against a task that runs again after a takeover, since its end was acknowledged although
   * the record with it was refused.
   */
  @Example
  void endsAreAcknowledgedOnlyOnceASmallerRecordIsStored() {
    startBoth();
    refuses = write -> write.key().equals("p/" + ODD) && !EndedJobCodec.isCompact(write.value());
    end(ODD + ".0.0.0", EndKind.DONE);
    advance(1_500);
    assertThat(acknowledged).isZero();
    assertThat(phase(ODD)).isEqualTo(JobPhase.RUNNING);
    end(ODD + ".0.0.1", EndKind.STOPPED);
    advance(1_500);
    assertThat(acknowledged).isEqualTo(2);
    assertThat(phase(ODD)).isEqualTo(JobPhase.FAILED);
  }

  /** Guards against a successor that reads the same records and is blocked by them. */
  @Example
  void successorHandlesTheSameRecordInTheSameWay() {
    startBoth();
    refuses = write -> write.key().equals("p/" + ODD) && !EndedJobCodec.isCompact(write.value());
    end(ODD + ".0.0.0", EndKind.DONE);
    advance(100);
    coordinator = coordinator();
    actions.clear();
    report(List.of(new ReportedEnd(1, ODD + ".0.0.0", 1, EndKind.DONE, "")));
    advance(500);
    end(ODD + ".0.0.1", EndKind.STOPPED);
    end(SOUND + ".0.0.0", EndKind.DONE);
    end(SOUND + ".0.0.1", EndKind.DONE);
    advance(500);
    end(SOUND + ".0.1.0", EndKind.DONE);
    advance(500);
    assertThat(phase(ODD)).isEqualTo(JobPhase.FAILED);
    assertThat(phase(SOUND)).isEqualTo(JobPhase.COMPLETED);
    assertThat(actions)
        .noneMatch(
            action ->
                action instanceof Action.StartTask start && start.task().equals(ODD + ".0.0.0"));
  }

  /** Guards against starts of a job whose definition is not stored, and callers left waiting. */
  @Example
  void jobWhoseDefinitionIsRefusedStartsNothing() {
    refuses = write -> write.key().equals("d/" + ODD);
    submit(ODD);
    advance(500);
    assertThat(running).isEmpty();
    assertThat(phase(ODD)).isEqualTo(JobPhase.FAILED);
    assertThat(actions.stream().filter(new Action.ConfirmSubmission(ODD)::equals)).hasSize(1);
    assertThat(records).containsOnlyKeys("p/" + ODD);
  }

  /** Guards against a submission that is stored again and again, or that is never answered. */
  @Example
  void submissionOfWhichNothingCanBeStoredIsRejected() {
    refuses = write -> write.owner().equals(ODD) && write.value().length > 0;
    submit(ODD);
    submit(SOUND);
    advance(500);
    assertThat(coordinator.job(ODD)).isEmpty();
    assertThat(has(new Action.RejectRequests(ODD, "q", "team"))).isTrue();
    assertThat(has(new Action.ConfirmSubmission(ODD))).isFalse();
    assertThat(running).containsOnlyKeys(SOUND + ".0.0.0", SOUND + ".0.0.1");
  }

  /**
   * Guards against a definition that is left alone in the store: a successor would start the job.
   */
  @Example
  void jobWhoseEndCannotBeStoredIsRemovedFromTheStore() {
    startBoth();
    refuses = write -> write.key().equals("p/" + ODD) && write.value().length > 0;
    end(ODD + ".0.0.0", EndKind.DONE);
    advance(100);
    end(ODD + ".0.0.1", EndKind.STOPPED);
    advance(500);
    assertThat(phase(ODD)).isEqualTo(JobPhase.FAILED);
    assertThat(records).containsOnlyKeys("d/" + SOUND, "p/" + SOUND);
    nowMillis += KEPT_MILLIS;
    advance(1_500);
    assertThat(coordinator.job(ODD)).isEmpty();
  }

  /** Guards against a caller that is told of a cancellation that is not stored. */
  @Example
  void refusedCancellationOfAnUnknownJobIsNotConfirmed() {
    refuses = write -> write.key().startsWith("x/");
    assertThat(coordinator.cancelUnknown(ODD, "q", "team", now())).isEmpty();
    advance(200);
    assertThat(has(new Action.RejectCancellation(ODD, "q", "team"))).isTrue();
    assertThat(has(new Action.ConfirmCancellation(ODD, "q", "team"))).isFalse();
    assertThat(coordinator.counts()).containsEntry("early_cancellations", 0L);
  }

  /** Guards against a refused cancellation by which another team's request is rejected. */
  @Example
  void refusedCancellationOfOneTeamRejectsNoOtherRequest() {
    refuses = write -> write.key().startsWith("x/");
    assertThat(coordinator.cancelUnknown(ODD, "q", "other", now())).isEmpty();
    submit(ODD);
    advance(25);
    assertThat(has(new Action.RejectCancellation(ODD, "q", "other"))).isTrue();
    assertThat(actions).noneMatch(Action.RejectRequests.class::isInstance);
    assertThat(new RecordWrite("xo/" + ODD + "/q/t", new byte[0]).owner()).isEqualTo(ODD);
  }

  /** Guards against a cancellation that is confirmed although nothing of it is stored. */
  @Example
  void cancellationOfAJobThatMustWaitIsConfirmedOnceItsEndIsStored() {
    startBoth();
    refuses = write -> write.key().equals("p/" + ODD) && !EndedJobCodec.isCompact(write.value());
    coordinator.cancel(ODD, now());
    advance(200);
    coordinator.cancel(ODD, now());
    end(SOUND + ".0.0.0", EndKind.DONE);
    advance(200);
    Action confirmation = new Action.ConfirmCancellation(ODD, "q", "team");
    assertThat(has(confirmation)).isFalse();
    assertThat(coordinator.takeBatch()).as("nothing can be stored").isEmpty();
    end(ODD + ".0.0.0", EndKind.STOPPED);
    end(ODD + ".0.0.1", EndKind.STOPPED);
    advance(100);
    assertThat(has(confirmation)).isTrue();
    assertThat(phase(ODD)).isEqualTo(JobPhase.CANCELLED);
  }

  /**
   * Guards against ends that are acknowledged, or shown, before the deletions of a job's records
   * are stored: a successor would run its completed task again.
   */
  @Example
  void endOfAJobThatIsGivenUpIsHeldUntilItsRecordsAreDeleted() {
    startBoth();
    refuses = write -> write.key().equals("p/" + ODD) && write.value().length > 0;
    end(ODD + ".0.0.0", EndKind.DONE);
    advance(100);
    end(ODD + ".0.0.1", EndKind.STOPPED);
    for (int round = 0; round < 40 && records.containsKey("d/" + ODD); round++) {
      assertThat(phase(ODD)).isEqualTo(JobPhase.RUNNING);
      assertThat(acknowledged).isZero();
      advance(25);
    }
    advance(1_500);
    assertThat(records).doesNotContainKeys("d/" + ODD, "p/" + ODD);
    assertThat(phase(ODD)).isEqualTo(JobPhase.FAILED);
    assertThat(acknowledged).isEqualTo(2);
  }

  /** Guards against a removed job because of which no end is acknowledged any more. */
  @Example
  void removedJobHoldsNoEnds() {
    startBoth();
    coordinator.cancel(ODD, now());
    advance(KEPT_MILLIS + 1_000);
    refuses = write -> write.key().equals("p/" + ODD) && !EndedJobCodec.isCompact(write.value());
    coordinator.cancel(ODD, now());
    // Both runs end just before the check that removes ended jobs, each full second.
    advance(2_000 - nowMillis % 1_000);
    end(ODD + ".0.0.0", EndKind.STOPPED);
    end(ODD + ".0.0.1", EndKind.STOPPED);
    advance(3_000);
    assertThat(coordinator.job(ODD)).isEmpty();
    assertThat(acknowledged).isEqualTo(2);
  }

  /**
   * Guards against a job that stops at the limit of a record: the build before stored 78,000
   * completed occurrences as a list, and the store refused its record 600 occurrences later.
   */
  @Example
  void jobAtTheLimitOfTheBuildBeforeIsCompleted() {
    int count = 79_000;
    JobSpec spec =
        SimulatedJobs.recurringJob(ODD, count, 1, SimulatedJobs.step(1, 1_000, 5, false));
    JobDefinition definition = new JobDefinition(ODD, QUEUE, "team", "zone", 1, false, spec);
    List<Integer> done = IntStream.range(0, 78_000).boxed().toList();
    List<Object> progress = List.of("q", "team", JobPhase.RUNNING, 0, List.of(), done, List.of());
    records.put("d/" + ODD, RecordCodec.encode(definition));
    records.put("p/" + ODD, RecordCodec.encode(progress));
    refuses = RecordLimits::isTooLarge;
    coordinator = coordinator();
    Set<String> started = new HashSet<>();
    for (int round = 0; round < 200 && phase(ODD) != JobPhase.COMPLETED; round++) {
      advance(25);
      for (String task : List.copyOf(running.keySet())) {
        assertThat(started.add(task)).as(task).isTrue();
        end(task, EndKind.DONE);
      }
    }
    assertThat(phase(ODD)).isEqualTo(JobPhase.COMPLETED);
    assertThat(started).hasSize(count - 78_000).contains(ODD + ".78000.0.0");
  }
}
