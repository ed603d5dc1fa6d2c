package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cicadaford.cell.occurrences.OccurrenceRanges;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;

/** Tests the compact form in which ended jobs are stored. */
class EndedJobCodecTest {

  private static final byte[] CONTENT =
      EndedJobCodec.encode("queue", "team", JobPhase.CANCELLED, 1_700_000_000_123L);

  /** Guards against an ended job that is shown in another phase after a takeover. */
  @Example
  void recordSurvivesARoundTrip() throws MalformedRecordException {
    assertThat(EndedJobCodec.isCompact(CONTENT)).isTrue();
    JobProgress progress = EndedJobCodec.decode(CONTENT);
    assertThat(progress.queue()).isEqualTo("queue");
    assertThat(progress.team()).isEqualTo("team");
    assertThat(progress.phase()).isEqualTo(JobPhase.CANCELLED);
    assertThat(progress.endedAtMillis()).isEqualTo(1_700_000_000_123L);
  }

  /** Guards against a record in the general form that is decoded as a compact one. */
  @Example
  void generalFormIsNotCompact() {
    JobProgress progress =
        new JobProgress(
            "q", "t", JobPhase.RUNNING, 0, List.of(), new OccurrenceRanges(), List.of(), false);
    assertThat(EndedJobCodec.isCompact(RecordCodec.encode(progress))).isFalse();
    assertThat(EndedJobCodec.isCompact(new byte[0])).isFalse();
  }

  /** Guards against a job that is shown as ended although it is not. */
  @Example
  void activePhaseIsRejected() {
    byte[] running = EndedJobCodec.encode("q", "t", JobPhase.RUNNING, 0);
    assertThatThrownBy(() -> EndedJobCodec.decode(running))
        .isInstanceOf(MalformedRecordException.class);
  }

  /** Guards against a coordinator that cannot start because of a damaged record. */
  @Property(tries = 500, seed = "4851")
  void damagedRecordsAreRejected(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    Random random = new Random(seed);
    byte[] damaged = Arrays.copyOf(CONTENT, 1 + random.nextInt(CONTENT.length));
    for (int change = random.nextInt(3); change > 0; change--) {
      damaged[random.nextInt(damaged.length)] = (byte) random.nextInt(256);
    }
    try {
      assertThat(EndedJobCodec.decode(damaged).phase().terminal()).isTrue();
    } catch (MalformedRecordException e) {
      assertThat(e).hasMessageContaining("JobProgress");
    }
  }
}
