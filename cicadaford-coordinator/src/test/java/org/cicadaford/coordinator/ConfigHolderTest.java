package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import org.cicadaford.cell.CellConfig;
import org.cicadaford.cell.ClockReading;

/** Tests that the configuration never reverts to an older version, and that its age is tracked. */
class ConfigHolderTest {

  private static CellDirectory.PublishedConfig version(long number, String... zonesOut) {
    return new CellDirectory.PublishedConfig(
        new CellConfig(number, List.of(), List.of()), Set.of(zonesOut));
  }

  /** Guards against applying an older version from a delayed answer. */
  @Example
  void olderVersionIsNotTaken() {
    ConfigHolder holder = new ConfigHolder();
    holder.update(version(5), new ClockReading(0, 0));
    assertThat(holder.update(version(3), new ClockReading(10, 10))).isFalse();
    assertThat(holder.published().config().version()).isEqualTo(5);
  }

  /**
   * Guards against missing a change of the zones out of service when the version stays the same.
   */
  @Example
  void changeOfZonesIsAChange() {
    ConfigHolder holder = new ConfigHolder();
    holder.update(version(5), new ClockReading(0, 0));
    assertThat(holder.update(version(5, "kolkata"), new ClockReading(10, 10))).isTrue();
  }

  /**
   * Guards against accepting withdrawn keys too long after the instance was suspended or its clock
   * was changed.
   */
  @Example
  void ageIsTheLargerOfBothClocks() {
    ConfigHolder holder = new ConfigHolder();
    assertThat(holder.isConfirmedWithin(1_000_000, new ClockReading(0, 0))).isFalse();
    holder.update(version(5), new ClockReading(1_000, 50_000));
    assertThat(holder.isConfirmedWithin(8_000, new ClockReading(1_500, 58_000))).isTrue();
    assertThat(holder.isConfirmedWithin(7_999, new ClockReading(1_500, 58_000))).isFalse();
    assertThat(holder.isConfirmedWithin(3_000, new ClockReading(4_000, 47_000))).isTrue();
    assertThat(holder.isConfirmedWithin(2_999, new ClockReading(4_000, 47_000))).isFalse();
  }
}
