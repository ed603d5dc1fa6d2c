package org.cicadaford.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against an index that misses a worker with room or offers one without. */
class FreeCapacityTreeTest {

  private record Entry(WorkerSlot slot, long millicores, long mebibytes) {}

  @Property(seed = "11", tries = 300)
  void findsWhatALinearSearchFinds(@ForAll long seed) {
    Random random = new Random(seed);
    FreeCapacityTree tree = new FreeCapacityTree();
    List<Entry> entries = new ArrayList<>();
    for (int step = 0; step < 200; step++) {
      if (entries.isEmpty() || random.nextInt(3) > 0) {
        Entry entry = new Entry(new WorkerSlot("w" + step), random.nextInt(20), random.nextInt(20));
        entries.add(entry);
        tree.insert(entry.slot(), entry.millicores(), entry.mebibytes());
      } else {
        Entry entry = entries.remove(random.nextInt(entries.size()));
        tree.remove(entry.slot(), entry.millicores(), entry.mebibytes());
      }
      long millicores = random.nextInt(22);
      long mebibytes = random.nextInt(22);
      int excluded = random.nextInt(4);
      WorkerSlot expected =
          entries.stream()
              .filter(e -> e.millicores() >= millicores && e.mebibytes() >= mebibytes)
              .filter(e -> e.slot().workerId.hashCode() % 4 != excluded)
              .min(
                  Comparator.comparingLong(Entry::millicores)
                      .thenComparingLong(Entry::mebibytes)
                      .thenComparing(e -> e.slot().workerId))
              .map(Entry::slot)
              .orElse(null);

      assertThat(tree.smallest(millicores, mebibytes, s -> s.workerId.hashCode() % 4 != excluded))
          .isSameAs(expected);
    }
  }
}
