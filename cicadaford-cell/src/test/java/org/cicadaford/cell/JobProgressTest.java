package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.HexFormat;
import java.util.List;
import net.jqwik.api.Example;
import org.cicadaford.cell.JobProgress.OccurrenceProgress;
import org.cicadaford.cell.JobProgress.TaskProgress;
import org.cicadaford.cell.JobProgress.WorkerKey;
import org.cicadaford.cell.occurrences.OccurrenceRanges;
import org.cicadaford.model.RecordCodec;

/**
 * Tests that versions before and after a change of the stored progress read each other's records.
 */
class JobProgressTest {

  /** A record that commit 5f828c6 wrote; its tasks have no counts of crashes. */
  private static final String RECORD_WITHOUT_CRASH_COUNT =
      "97a171a47465616da752554e4e494e47009192a27731cf0000018bcfe5687b90"
          + "9192009295c30100ffa095c2030200a430306666";

  /** The progress of a task as commit 5f828c6 reads it. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record EarlierTaskProgress(
      boolean done, int lastRun, int failedCount, int workerIndex, String checkpoint) {}

  private static JobProgress progress() {
    return progress(false);
  }

  private static JobProgress progress(boolean begun) {
    return new JobProgress(
        "q",
        "team",
        JobPhase.RUNNING,
        0,
        List.of(new WorkerKey("w1", 1_700_000_000_123L)),
        new OccurrenceRanges(),
        List.of(
            new OccurrenceProgress(
                0,
                List.of(
                    new TaskProgress(true, 1, 0, -1, "", 0, 0, 0),
                    new TaskProgress(false, 3, 2, 0, "00ff", 0, 0, 0)))),
        begun);
  }

  /** Guards against losing the jobs of the version before at an upgrade. */
  @Example
  void recordOfTheVersionBeforeIsRead() throws Exception {
    byte[] content = HexFormat.of().parseHex(RECORD_WITHOUT_CRASH_COUNT);
    assertThat(RecordCodec.decode(content, JobProgress.class)).isEqualTo(progress());
  }

  /** Guards against larger records of the tasks that have crashed no worker, which are most. */
  @Example
  void recordWithoutCountsIsWrittenAsBefore() {
    assertThat(HexFormat.of().formatHex(RecordCodec.encode(progress())))
        .isEqualTo(RECORD_WITHOUT_CRASH_COUNT);
  }

  /** The progress of a job as commit 36bdcba reads it. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record EarlierJobProgress(
      String queue,
      String team,
      JobPhase phase,
      long endedAtMillis,
      List<WorkerKey> workers,
      OccurrenceRanges doneOccurrences,
      List<OccurrenceProgress> occurrences) {}

  /** Guards against a job that is known to have begun and that a takeover counts as pending. */
  @Example
  void begunIsStored() throws Exception {
    byte[] content = RecordCodec.encode(progress(true));
    assertThat(RecordCodec.decode(content, JobProgress.class)).isEqualTo(progress(true));
    assertThat(content).hasSize(RECORD_WITHOUT_CRASH_COUNT.length() / 2 + 1);
  }

  /** Guards against losing the jobs that have begun when an earlier version takes over. */
  @Example
  void recordWithBegunIsReadByTheVersionBefore() throws Exception {
    EarlierJobProgress read =
        RecordCodec.decode(RecordCodec.encode(progress(true)), EarlierJobProgress.class);
    assertThat(read.phase()).isEqualTo(JobPhase.RUNNING);
    assertThat(read.occurrences()).isEqualTo(progress().occurrences());
  }

  /** Guards against counts that a takeover forgets. */
  @Example
  void countsAreStored() throws Exception {
    TaskProgress counted = new TaskProgress(false, 3, 2, 0, "00ff", 1, 2, 3);
    assertThat(RecordCodec.decode(RecordCodec.encode(counted), TaskProgress.class))
        .isEqualTo(counted);
  }

  /** Guards against records that the version before cannot read when it takes over. */
  @Example
  void versionBeforeReadsTheProgressOfATask() throws Exception {
    byte[] content = RecordCodec.encode(new TaskProgress(false, 3, 2, 0, "00ff", 2, 2, 3));
    assertThat(RecordCodec.decode(content, EarlierTaskProgress.class))
        .isEqualTo(new EarlierTaskProgress(false, 3, 2, 0, "00ff"));
  }
}
