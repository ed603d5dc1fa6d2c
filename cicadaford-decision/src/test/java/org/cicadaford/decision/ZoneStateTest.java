package org.cicadaford.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.JobState;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskEnd;
import org.cicadaford.model.TaskId;
import org.cicadaford.model.Urgency;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneRecord;
import org.cicadaford.model.ZoneRecord.OwnerBatch;
import org.cicadaford.model.ZoneRecord.OwnerClaimed;
import org.cicadaford.model.ZoneRecord.ZoneSnapshotChunk;

/** Guards against readers that derive different states from the same records. */
class ZoneStateTest {

  private static final Resources CAPACITY = new Resources(4_000, 4_000, 1);

  private final SplittableRandom[] source = new SplittableRandom[1];
  private long nowMillis;

  private int random(int bound) {
    return source[0].nextInt(bound);
  }

  private ZoneChange change() {
    TaskId task = new TaskId("job-" + random(8), random(3));
    String worker = "worker-" + random(3);
    int attempt = 1 + random(3);
    Resources size = new Resources(random(3_000) - 200, random(2_000), 0);
    JobKind kind = JobKind.values()[random(3)];
    JobDescription description =
        new JobDescription(
            "d",
            "team-" + random(2),
            kind,
            "q",
            Urgency.NORMAL,
            size,
            3,
            List.of(),
            0,
            0,
            0,
            random(2) == 0,
            random(2) == 0,
            "p");
    return switch (random(13)) {
      case 0 -> new ZoneChange.WorkerListed(worker, "rack", CAPACITY.times(1 + random(2)));
      case 1 -> new ZoneChange.WorkerUnlisted(worker);
      case 2, 3 ->
          new ZoneChange.JobAdmitted(task.jobId(), description, List.of(0, 1, 2), nowMillis);
      case 4, 5, 6, 7 -> new ZoneChange.TaskPlaced(task, attempt, worker, size, nowMillis);
      case 8 -> new ZoneChange.TaskStopping(task, attempt, TaskEnd.EVACUATED);
      case 9, 10 ->
          new ZoneChange.TaskEnded(task, attempt, TaskEnd.values()[random(7)], "", nowMillis);
      case 11 ->
          new ZoneChange.JobClosed(
              task.jobId(), JobState.CANCELLED, "", nowMillis - random(2_000_000));
      default -> new ZoneChange.WorkerQuarantined(worker, random(4), nowMillis + random(1_000));
    };
  }

  private ZoneRecord record(ZoneState state, long offset) {
    nowMillis += random(60_000);
    if (random(15) == 0) {
      return new OwnerClaimed("claim-" + random(3), "owner-" + random(3), nowMillis);
    }
    long epoch = random(6) == 0 ? random((int) offset + 1) : state.epoch();
    long sequence = state.sequence() + (random(6) == 0 ? random(3) : 1);
    List<ZoneChange> changes = new ArrayList<>();
    while (changes.size() < 6) {
      changes.add(change());
    }
    return new OwnerBatch("b", epoch, sequence, nowMillis, 0, offset, changes);
  }

  /** Fails when a reader that starts from a snapshot differs in its state or in a later result. */
  @Property(seed = "41", tries = 60, edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
  void readerFromSnapshotEqualsReaderOfAllRecords(@ForAll long seed) throws Exception {
    source[0] = new SplittableRandom(seed);
    nowMillis = 1_000_000;
    ZoneState all = new ZoneState();
    ZoneState late = new ZoneState();
    long offset = 0;
    all.apply(offset++, new OwnerClaimed("first", "owner", nowMillis));
    int lateStart = random(120);
    for (int i = 0; i < 250; i++) {
      ZoneRecord record = record(all, offset);
      ZoneApplyResult result = all.apply(offset, record);
      if (i >= lateStart) {
        ZoneApplyResult lateResult = late.apply(offset, record);
        assertThat(late.isComplete() ? lateResult : result).isEqualTo(result);
      }
      offset++;
      if (random(20) == 0) {
        for (ZoneSnapshotChunk chunk : all.snapshot("s" + i, 4_000)) {
          all.apply(offset, chunk);
          if (i >= lateStart) {
            late.apply(offset, chunk);
          }
          offset++;
          if (random(8) == 0) {
            // Chunks after an intervening record must not complete a snapshot.
            ZoneRecord between = record(all, offset);
            all.apply(offset, between);
            if (i >= lateStart) {
              late.apply(offset, between);
            }
            offset++;
          }
        }
      }
      if (late.isComplete()) {
        assertSame(late, all);
      }
    }
  }

  private static void assertSame(ZoneState late, ZoneState all) {
    assertThat(late.snapshot("s", 1 << 20).getFirst().content())
        .isEqualTo(all.snapshot("s", 1 << 20).getFirst().content());
    assertThat(late.waitingJobs()).containsExactlyElementsOf(all.waitingJobs());
    assertThat(late.finishedJobs()).containsExactlyElementsOf(all.finishedJobs());
    assertThat(late.committedTaskCount()).isEqualTo(all.committedTaskCount());
    assertThat(late.committedMillicores("team-0")).isEqualTo(all.committedMillicores("team-0"));
    for (WorkerStatus worker : all.workers()) {
      assertThat(worker.committed().fitsIn(worker.capacity())).isTrue();
      assertThat(late.committedTasksOn(worker.workerId()))
          .containsExactlyElementsOf(all.committedTasksOn(worker.workerId()));
      Resources sum =
          all.committedTasksOn(worker.workerId()).stream()
              .map(TaskStatus::reserved)
              .reduce(Resources.NONE, Resources::plus);
      assertThat(sum).isEqualTo(worker.committed());
    }
  }
}
