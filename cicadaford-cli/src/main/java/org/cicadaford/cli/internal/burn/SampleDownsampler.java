package org.cicadaford.cli.internal.burn;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Downsamples older samples to keep the samples file small.
 *
 * <p>Counters are sums since the start of a daemon, so dropping a sample loses no events. It only
 * dates events up to one step later, which is short compared with windows of that age.
 */
final class SampleDownsampler {

  private static final long MINUTE_MILLIS = 60_000;
  private static final long HOUR_MILLIS = 60 * MINUTE_MILLIS;

  /**
   * Defines the sampling interval up to an age.
   *
   * @param maxAgeMillis maximum age of samples that the step applies to
   * @param stepMillis length of a step; one sample per daemon and step is kept
   */
  private record Tier(long maxAgeMillis, long stepMillis) {}

  private static final List<Tier> TIERS =
      List.of(
          new Tier(70 * MINUTE_MILLIS, 1),
          new Tier(7 * HOUR_MILLIS, 5 * MINUTE_MILLIS),
          new Tier(73 * HOUR_MILLIS, HOUR_MILLIS),
          new Tier(Long.MAX_VALUE, 12 * HOUR_MILLIS));

  private record Bucket(String instanceId, long stepMillis, long number) {}

  private SampleDownsampler() {}

  /** Returns the samples to keep of {@code sorted}, which are in order of time. */
  static List<Sample> downsample(List<Sample> sorted, long nowMillis) {
    Set<Sample> kept = new LinkedHashSet<>();
    Set<String> knownInstances = new HashSet<>();
    Set<Bucket> filledBuckets = new HashSet<>();
    for (Sample sample : sorted) {
      // The first sample of a daemon is the baseline for its later events.
      if (knownInstances.add(sample.instanceId())) {
        kept.add(sample);
      }
    }
    for (Sample sample : sorted.reversed()) {
      long step = stepOf(nowMillis - sample.atMillis());
      if (filledBuckets.add(new Bucket(sample.instanceId(), step, sample.atMillis() / step))) {
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
