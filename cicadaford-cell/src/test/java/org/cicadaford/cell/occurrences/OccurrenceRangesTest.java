package org.cicadaford.cell.occurrences;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;

/** Tests the set of completed occurrences and its two stored forms. */
class OccurrenceRangesTest {

  /** The end of a progress record as commit 2b31587 reads it. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record EarlierProgress(String queue, List<Integer> doneOccurrences, List<String> occurrences) {}

  /** The end of a progress record as it is written now. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Progress(String queue, OccurrenceRanges doneOccurrences, List<String> occurrences) {}

  private static OccurrenceRanges upTo(int count) {
    OccurrenceRanges ranges = new OccurrenceRanges();
    for (int occurrence = 0; occurrence < count; occurrence++) {
      ranges.add(occurrence);
    }
    return ranges;
  }

  private static byte[] record(OccurrenceRanges ranges) {
    return RecordCodec.encode(new Progress("q", ranges, List.of()));
  }

  /** Guards against occurrences that are lost or done twice by joining ranges. */
  @Property(tries = 300, seed = "7207")
  void holdsWhatASetHolds(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) throws Exception {
    Random random = new Random(seed);
    OccurrenceRanges ranges = new OccurrenceRanges();
    TreeSet<Integer> expected = new TreeSet<>();
    int bound = 1 + random.nextInt(200);
    for (int step = 0; step < bound; step++) {
      int occurrence = random.nextInt(bound);
      assertThat(ranges.add(occurrence)).isEqualTo(expected.add(occurrence));
    }
    assertThat(ranges.count()).isEqualTo(expected.size());
    int missing = 0;
    while (expected.contains(missing)) {
      missing++;
    }
    assertThat(ranges.firstMissing(0)).isEqualTo(missing);
    for (int occurrence = 0; occurrence < bound; occurrence++) {
      assertThat(ranges.contains(occurrence)).isEqualTo(expected.contains(occurrence));
    }
    assertThat(ranges.elements()).isEqualTo(List.copyOf(expected));
    OccurrenceRanges restored = new OccurrenceRanges();
    restored.addAll(RecordCodec.decode(record(ranges), Progress.class).doneOccurrences());
    assertThat(restored).isEqualTo(ranges);
  }

  /** Guards against records that an earlier build cannot read although they are small. */
  @Example
  void smallSetIsReadByTheBuildBefore() throws Exception {
    byte[] content = record(upTo(OccurrenceRanges.MAX_LISTED));
    EarlierProgress read = RecordCodec.decode(content, EarlierProgress.class);
    assertThat(read.doneOccurrences()).hasSize(OccurrenceRanges.MAX_LISTED);
    assertThat(content.length).isLessThan(20_500);
  }

  /** Guards against an earlier build that takes a set for another one and runs work again. */
  @Example
  void largeSetCannotBeDecodedByTheBuildBefore() throws Exception {
    OccurrenceRanges one = upTo(OccurrenceRanges.MAX_LISTED + 1);
    OccurrenceRanges several = upTo(OccurrenceRanges.MAX_LISTED + 1);
    several.add(OccurrenceRanges.MAX_LISTED + 7);
    for (OccurrenceRanges large : List.of(one, several)) {
      byte[] content = record(large);
      assertThatThrownBy(() -> RecordCodec.decode(content, EarlierProgress.class))
          .isInstanceOf(MalformedRecordException.class);
      assertThat(RecordCodec.decode(content, Progress.class).doneOccurrences()).isEqualTo(large);
      assertThat(content.length).isLessThan(40);
    }
  }

  /** Guards against records of the build before that are read otherwise than they were written. */
  @Example
  void largeListOfTheBuildBeforeIsRead() throws Exception {
    List<Integer> listed = new java.util.ArrayList<>();
    for (int occurrence = 0; occurrence < 60_000; occurrence++) {
      listed.add(occurrence);
    }
    byte[] content = RecordCodec.encode(new EarlierProgress("q", listed, List.of()));
    OccurrenceRanges read = RecordCodec.decode(content, Progress.class).doneOccurrences();
    assertThat(read).isEqualTo(upTo(60_000));
    assertThat(read.rangeCount()).isEqualTo(1);
  }
}
