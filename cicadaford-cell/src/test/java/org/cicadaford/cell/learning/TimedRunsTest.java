package org.cicadaford.cell.learning;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

/** Tests the median that is kept as runs are added. */
class TimedRunsTest {

  /** Guards against a kept median that differs from that of the sorted durations. */
  @Property(tries = 200, seed = "61")
  void theMedianIsThatOfTheSortedDurations(
      @ForAll @Size(min = 1, max = 40) List<@LongRange(min = 1, max = 60) Long> durationsMillis) {
    TimedRuns runs = new TimedRuns();
    List<Long> sorted = new ArrayList<>();
    for (long durationMillis : durationsMillis) {
      runs.add(new StepComparison.Run(new WorkerSpeed(), "run", durationMillis));
      sorted.add(durationMillis);
      Collections.sort(sorted);
      assertThat(runs.medianMillis()).isEqualTo(sorted.get(sorted.size() / 2));
    }
  }
}
