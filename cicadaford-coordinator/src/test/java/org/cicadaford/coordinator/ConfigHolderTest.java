package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import org.cicadaford.cell.CellConfig;
import org.cicadaford.cell.ClockReading;

/** Tests that a process never goes back in its configuration, and knows its age. */
class ConfigHolderTest {

  private static CellDirectory.PublishedConfig version(long number, String... zonesOut) {
    return new CellDirectory.PublishedConfig(
        new CellConfig(number, List.of(), List.of()), Set.of(zonesOut));
  }

  /** Guards against an older version that a late answer brings. */
  @Example
  void olderVersionIsNotTaken() {
    ConfigHolder holder = new ConfigHolder();
    holder.take(version(5), new ClockReading(0, 0));
    assertThat(holder.take(version(3), new ClockReading(10, 10))).isFalse();
    assertThat(holder.published().config().version()).isEqualTo(5);
  }

  /** Guards against a zone taken out that is overlooked when the version stays the same. */
  @Example
  void changeOfZonesIsAChange() {
    ConfigHolder holder = new ConfigHolder();
    holder.take(version(5), new ClockReading(0, 0));
    assertThat(holder.take(version(5, "kolkata"), new ClockReading(10, 10))).isTrue();
  }

  /** Guards against keys that work too long after the instance was suspended, or its clock set. */
  @Example
  void ageIsTheLargerOfBothClocks() {
    ConfigHolder holder = new ConfigHolder();
    assertThat(holder.confirmedWithin(1_000_000, new ClockReading(0, 0))).isFalse();
    holder.take(version(5), new ClockReading(1_000, 50_000));
    assertThat(holder.confirmedWithin(8_000, new ClockReading(1_500, 58_000))).isTrue();
    assertThat(holder.confirmedWithin(7_999, new ClockReading(1_500, 58_000))).isFalse();
    assertThat(holder.confirmedWithin(3_000, new ClockReading(4_000, 47_000))).isTrue();
    assertThat(holder.confirmedWithin(2_999, new ClockReading(4_000, 47_000))).isFalse();
  }
}
