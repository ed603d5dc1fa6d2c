package org.cicadaford.cli.internal.burn;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Leaves out samples that no window can tell apart, so that the samples file stays small.
 *
 * <p>Counters are sums since the start of a daemon, so a sample that is left out loses no event. It
 * only dates events up to one step later, which is small against the windows that look so far back.
 */
final class SampleThinner {

  private static final long MINUTE_MILLIS = 60_000;
  private static final long HOUR_MILLIS = 60 * MINUTE_MILLIS;

  /**
   * Distance of samples by age.
   *
   * @param maxAgeMillis age up to which the step holds
   * @param stepMillis one sample of a daemon is kept in each step
   */
  private record Tier(long maxAgeMillis, long stepMillis) {}

  private static final List<Tier> TIERS =
      List.of(
          new Tier(70 * MINUTE_MILLIS, 1),
          new Tier(7 * HOUR_MILLIS, 5 * MINUTE_MILLIS),
          new Tier(73 * HOUR_MILLIS, HOUR_MILLIS),
          new Tier(Long.MAX_VALUE, 12 * HOUR_MILLIS));

  private record Bucket(String instanceId, long stepMillis, long number) {}

  private SampleThinner() {}

  /** Returns the samples to keep of {@code sorted}, which is in the order of times. */
  static List<Sample> thin(List<Sample> sorted, long nowMillis) {
    Set<Sample> kept = new LinkedHashSet<>();
    Set<String> known = new HashSet<>();
    Set<Bucket> filled = new HashSet<>();
    for (Sample sample : sorted) {
      // The first sample of a daemon is the base that its later events are counted from.
      if (known.add(sample.instanceId())) {
        kept.add(sample);
      }
    }
    for (Sample sample : sorted.reversed()) {
      long step = stepOf(nowMillis - sample.atMillis());
      if (filled.add(new Bucket(sample.instanceId(), step, sample.atMillis() / step))) {
        kept.add(sample);
      }
    }
    return kept.stream().sorted((a, b) -> Long.compare(a.atMillis(), b.atMillis())).toList();
  }

  private static long stepOf(long ageMillis) {
    return TIERS.stream()
        .filter(tier -> ageMillis <= tier.maxAgeMillis())
        .findFirst()
        .orElseThrow()
        .stepMillis();
  }
}
