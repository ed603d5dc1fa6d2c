package org.cicadaford.model.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against an index that misses a worker that fits or returns one that does not. */
class FreeCapacityTreeTest {

  private record Entry(String id, long millicores, long mebibytes) {}

  private static final Comparator<Entry> ORDER =
      Comparator.comparingLong(Entry::millicores)
          .thenComparingLong(Entry::mebibytes)
          .thenComparing(Entry::id);

  @Property(seed = "11", tries = 300)
  void findsSameWorkerAsLinearSearch(@ForAll long seed) {
    Random random = new Random(seed);
    FreeCapacityTree<String> tree = new FreeCapacityTree<>(id -> id);
    List<Entry> entries = new ArrayList<>();
    for (int step = 0; step < 200; step++) {
      change(random, step, tree, entries);
      long millicores = random.nextInt(22);
      long mebibytes = random.nextInt(22);
      int excluded = random.nextInt(4);
      String expected =
          entries.stream()
              .filter(e -> e.millicores() >= millicores && e.mebibytes() >= mebibytes)
              .filter(e -> e.id().hashCode() % 4 != excluded)
              .min(ORDER)
              .map(Entry::id)
              .orElse(null);

      assertThat(tree.findBestFit(millicores, mebibytes, id -> id.hashCode() % 4 != excluded))
          .isSameAs(expected);
    }
  }

  @Property(seed = "12", tries = 100)
  void visitsInDescendingOrderUntilVisitorStops(@ForAll long seed) {
    Random random = new Random(seed);
    FreeCapacityTree<String> tree = new FreeCapacityTree<>(id -> id);
    List<Entry> entries = new ArrayList<>();
    for (int step = 0; step < 50; step++) {
      change(random, step, tree, entries);
    }
    int limit = 1 + random.nextInt(entries.size() + 1);
    List<String> visited = new ArrayList<>();
    tree.visitLargestFirst(
        id -> {
          visited.add(id);
          return visited.size() < limit;
        });

    assertThat(visited)
        .isEqualTo(entries.stream().sorted(ORDER.reversed()).limit(limit).map(Entry::id).toList());
  }

  private static void change(
      Random random, int step, FreeCapacityTree<String> tree, List<Entry> entries) {
    if (entries.isEmpty() || random.nextInt(3) > 0) {
      // A worker that has shrunk below its use has negative free capacity.
      Entry entry = new Entry("w" + step, random.nextInt(30) - 10, random.nextInt(30) - 10);
      entries.add(entry);
      tree.insert(entry.id(), entry.millicores(), entry.mebibytes());
    } else {
      Entry entry = entries.remove(random.nextInt(entries.size()));
      tree.remove(entry.id(), entry.millicores(), entry.mebibytes());
    }
  }
}
