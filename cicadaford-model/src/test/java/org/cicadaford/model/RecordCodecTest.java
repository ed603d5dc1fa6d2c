package org.cicadaford.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadaford.model.ZoneRecord.OwnerBatch;

/** Guards against records that change when encoded and decoded. */
class RecordCodecTest {

  @Property(seed = "1")
  void decodedBatchEqualsEncodedBatch(
      @ForAll String id, @ForAll long epoch, @ForAll int attempt, @ForAll long amount)
      throws MalformedRecordException {
    OwnerBatch batch =
        new OwnerBatch(
            id,
            epoch,
            1,
            2,
            3,
            4,
            List.of(
                new ZoneChange.TaskPlaced(
                    new TaskId(id, 7), attempt, "w", new Resources(amount, 2, 3), 4),
                new ZoneChange.TaskEnded(
                    new TaskId(id, 7), attempt, TaskEnd.LOST, "no answer", 5)));

    assertThat(RecordCodec.decode(RecordCodec.encode(batch), ZoneRecord.class)).isEqualTo(batch);
  }

  @Example
  void malformedBytesAreRejected() {
    assertThatThrownBy(() -> RecordCodec.decode(new byte[] {1, 2, 3}, ZoneRecord.class))
        .isInstanceOf(MalformedRecordException.class);
  }
}
