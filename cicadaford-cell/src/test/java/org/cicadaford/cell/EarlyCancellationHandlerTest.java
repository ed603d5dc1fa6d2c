package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import org.cicadaford.model.Resources;

/** Tests cancellations that arrive before the submissions of their jobs. */
class EarlyCancellationHandlerTest {

  private static final String JOB = "00000000000000a1";
  private static final long KEPT_MILLIS = 120_000;
  private static final CellConfig CONFIG = SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE);
  private static final Queue QUEUE = CONFIG.queue("q").orElseThrow();
  private static final Submitter SUBMITTER = new Submitter("team", "zone");
  private static final JobSpec SPEC =
      SimulatedJobs.job(JOB, SimulatedJobs.step(1, 1_000, 5_000, false));

  private final Map<String, byte[]> records = new LinkedHashMap<>();
  private Coordinator coordinator = coordinator(List.of());
  private long nowMillis = 1_000;

  private Coordinator coordinator(List<RecordWrite> restored) {
    Coordinator created = new Coordinator(CoordinatorSettings.forPlatform(6_000, KEPT_MILLIS));
    created.restore(restored, now());
    created.configure(CONFIG, Set.of());
    return created;
  }

  private ClockReading now() {
    return new ClockReading(nowMillis, 1_700_000_000_000L + nowMillis);
  }

  private void store() {
    coordinator.advance(now());
    coordinator.takeBatch().ifPresent(this::store);
    coordinator.takeBatch().ifPresent(this::store);
  }

  private void store(Batch batch) {
    for (RecordWrite write : batch.writes()) {
      if (write.value().length == 0) {
        records.remove(write.key());
      } else {
        records.put(write.key(), write.value());
      }
    }
    coordinator.batchStored(now());
  }

  private void takeOver() {
    coordinator =
        coordinator(
            records.entrySet().stream()
                .map(entry -> new RecordWrite(entry.getKey(), entry.getValue()))
                .toList());
  }

  private AdmissionDecision submit(String jobId) {
    return coordinator.submit(jobId, QUEUE, SUBMITTER, SPEC, now());
  }

  /** Guards against a successor that knows of no cancellation and starts the job. */
  @Example
  void cancellationHoldsAcrossATakeover() {
    assertThat(coordinator.cancelUnknown(JOB, "q", "team", now())).isEmpty();
    store();
    takeOver();
    nowMillis += 5_000;
    assertThat(submit(JOB)).isEqualTo(new AdmissionDecision.CancelledBefore(5_000));
    store();
    assertThat(coordinator.job(JOB).orElseThrow().phase()).isEqualTo(JobPhase.CANCELLED);
    takeOver();
    assertThat(coordinator.job(JOB).orElseThrow().phase()).isEqualTo(JobPhase.CANCELLED);
  }

  /**
   * Guards against records that outlive a cancelled job: from a definition alone, a successor would
   * start the job.
   */
  @Example
  void noRecordIsLeftAfterTheRetention() {
    coordinator.cancelUnknown(JOB, "q", "team", now());
    coordinator.cancelUnknown("00000000000000a2", "q", "team", now());
    store();
    submit(JOB);
    store();
    assertThat(records).containsOnlyKeys("p/" + JOB, "x/00000000000000a2");
    nowMillis += KEPT_MILLIS + 1_100;
    store();
    assertThat(records).isEmpty();
    assertThat(submit("00000000000000a2")).isEqualTo(new AdmissionDecision.Storing());
  }

  /** Guards against a job that is cancelled in the batch in which it is first stored. */
  @Example
  void jobCancelledBeforeItsFirstBatchLeavesNoDefinition() {
    submit(JOB);
    assertThat(coordinator.cancel(JOB, now())).isTrue();
    store();
    assertThat(records).containsOnlyKeys("p/" + JOB);
    takeOver();
    assertThat(coordinator.job(JOB).orElseThrow().phase()).isEqualTo(JobPhase.CANCELLED);
  }

  /** Guards against a caller that fills the memory with cancellations of unknown jobs. */
  @Example
  void numberOfCancellationsIsBounded() {
    for (int job = 0; job < EarlyCancellations.MAX_COUNT; job++) {
      assertThat(coordinator.cancelUnknown("job" + job, "q", "team", now())).isEmpty();
    }
    nowMillis += 20_000;
    assertThat(coordinator.cancelUnknown(JOB, "q", "team", now())).hasValue(KEPT_MILLIS - 20_000);
    assertThat(coordinator.cancelUnknown("job7", "q", "team", now())).as("repeated").isEmpty();
    store();
    takeOver();
    nowMillis += KEPT_MILLIS;
    store();
    assertThat(coordinator.cancelUnknown(JOB, "q", "team", now())).isEmpty();
  }

  /** Guards against a team whose cancellation is refused because another team cancelled the id. */
  @Example
  void teamsCancelTheSameIdIndependently() {
    assertThat(coordinator.cancelUnknown(JOB, "q", "other", now())).isEmpty();
    assertThat(coordinator.cancelUnknown(JOB, "q", "team", now())).isEmpty();
    assertThat(coordinator.cancelUnknown(JOB, "q", "team", now())).as("repeated").isEmpty();
    store();
    assertThat(records).hasSize(2).containsKey("x/" + JOB);
    takeOver();
    nowMillis += 5_000;
    assertThat(submit(JOB)).isEqualTo(new AdmissionDecision.CancelledBefore(5_000));
    store();
    assertThat(records).containsOnlyKeys("p/" + JOB, "x/" + JOB);
    nowMillis += KEPT_MILLIS;
    store();
    assertThat(records).containsOnlyKeys("p/" + JOB);
  }

  /** Guards against a team that takes all places, so that other teams cannot cancel. */
  @Example
  void teamLeavesTheOthersTheirShares() {
    List<TeamShare> teams =
        List.of(
            new TeamShare("team", Set.of(), 0, Resources.NONE),
            new TeamShare("other", Set.of(), 0, Resources.NONE),
            new TeamShare("third", Set.of(), 0, Resources.NONE),
            new TeamShare("fourth", Set.of(), 0, Resources.NONE));
    coordinator.configure(new CellConfig(2, List.of(QUEUE), teams), Set.of());
    assertThat(acceptedCancellations("team", 5_000)).isEqualTo(5_000 - 3 * 625);
    assertThat(coordinator.cancelUnknown(JOB, "q", "team", now())).hasValue(KEPT_MILLIS);
    assertThat(acceptedCancellations("other", 5_000)).isEqualTo(625);
    assertThat(acceptedCancellations("third", 625)).isEqualTo(625);
    assertThat(acceptedCancellations("fourth", 625)).isEqualTo(625);
  }

  private int acceptedCancellations(String team, int count) {
    int accepted = 0;
    for (int job = 0; job < count; job++) {
      accepted += coordinator.cancelUnknown(team + job, "q", team, now()).isEmpty() ? 1 : 0;
    }
    return accepted;
  }

  /** Guards against a takeover that fails at an odd record. */
  @Example
  void oddRecordIsPassedOver() {
    List<RecordWrite> odd =
        List.of(
            new RecordWrite("x/" + JOB, new byte[] {1}),
            new RecordWrite("x/00000000000000a2", new byte[] {(byte) 0x90}));
    assertThat(coordinator.restore(odd, now())).hasSize(2);
  }
}
