package org.cicadaford.cell.occurrences;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A set of occurrences of a recurring job, kept as ranges.
 *
 * <p>Occurrences begin in order, so the completed ones form at most one range more than there are
 * occurrences in progress, however many there are. Designed for up to 5,000 ranges.
 *
 * <p>A set of up to {@link #MAX_LISTED} occurrences is stored as the list of its numbers, which
 * builds up to 2b31587 read. A larger one is stored as a list of pairs of the first and the last
 * occurrence of each range. Those builds fail to decode a pair as a number, so none of them takes
 * the set for an empty one and runs its occurrences again.
 */
public final class OccurrenceRanges {

  /**
   * Maximum number of occurrences that are stored as a list. Such a list has at most 20 kB, and a
   * job that runs each minute takes almost three days to exceed it, which covers an upgrade.
   */
  public static final int MAX_LISTED = 4_096;

  private final TreeMap<Integer, Integer> lastByFirst = new TreeMap<>();
  private int count;

  /** Creates an empty set. */
  public OccurrenceRanges() {}

  /**
   * Decodes a stored set in either form.
   *
   * @throws IllegalArgumentException if an element is not an occurrence or a range of them, or if a
   *     range overlaps another one
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public static OccurrenceRanges decode(List<Object> elements) {
    OccurrenceRanges ranges = new OccurrenceRanges();
    for (Object element : elements) {
      if (element instanceof List<?> pair && pair.size() == 2) {
        ranges.addRange(occurrence(pair.get(0)), occurrence(pair.get(1)));
      } else {
        ranges.add(occurrence(element));
      }
    }
    return ranges;
  }

  private static int occurrence(Object element) {
    boolean valid = element instanceof Integer number && number >= 0 && number < Integer.MAX_VALUE;
    if (!valid) {
      throw new IllegalArgumentException("not an occurrence: " + element);
    }
    return (Integer) element;
  }

  private void addRange(int first, int last) {
    Map.Entry<Integer, Integer> before = lastByFirst.floorEntry(last);
    if (last < first || before != null && before.getValue() >= first) {
      throw new IllegalArgumentException("not a range: " + first + " to " + last);
    }
    count += last - first + 1;
    join(first, last);
  }

  /** Adds an occurrence; returns whether the set did not contain it. */
  public boolean add(int occurrence) {
    if (contains(occurrence)) {
      return false;
    }
    count++;
    join(occurrence, occurrence);
    return true;
  }

  /** Puts a range that overlaps no other one, joined with those next to it. */
  private void join(int first, int last) {
    Map.Entry<Integer, Integer> before = lastByFirst.lowerEntry(first);
    int joinedFirst = before != null && before.getValue() == first - 1 ? before.getKey() : first;
    Integer lastOfNext = lastByFirst.remove(last + 1);
    lastByFirst.put(joinedFirst, lastOfNext == null ? last : lastOfNext);
  }

  /** Adds all occurrences of another set, which has none in common with this one. */
  public void addAll(OccurrenceRanges other) {
    other.lastByFirst.forEach(this::addRange);
  }

  /** Returns whether the set contains an occurrence. */
  public boolean contains(int occurrence) {
    Map.Entry<Integer, Integer> range = lastByFirst.floorEntry(occurrence);
    return range != null && range.getValue() >= occurrence;
  }

  /** Returns the lowest occurrence from {@code from} on that the set does not contain. */
  public int firstMissing(int from) {
    Map.Entry<Integer, Integer> range = lastByFirst.floorEntry(from);
    return range != null && range.getValue() >= from ? range.getValue() + 1 : from;
  }

  /** Returns the number of occurrences. */
  public int count() {
    return count;
  }

  /** Returns the number of ranges. */
  public int rangeCount() {
    return lastByFirst.size();
  }

  /** Returns whether all occurrences are lower than a limit. */
  public boolean allBelow(int limit) {
    return lastByFirst.isEmpty() || lastByFirst.lastEntry().getValue() < limit;
  }

  /** Returns the elements to store. */
  @JsonValue
  public Object elements() {
    List<Object> elements = new ArrayList<>();
    lastByFirst.forEach(
        (first, last) -> {
          if (count > MAX_LISTED) {
            elements.add(new int[] {first, last});
          } else {
            for (int occurrence = first; occurrence <= last; occurrence++) {
              elements.add(occurrence);
            }
          }
        });
    return elements;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof OccurrenceRanges that && lastByFirst.equals(that.lastByFirst);
  }

  @Override
  public int hashCode() {
    return lastByFirst.hashCode();
  }

  @Override
  public String toString() {
    return lastByFirst.toString();
  }
}
