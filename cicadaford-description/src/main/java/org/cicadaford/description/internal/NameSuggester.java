package org.cicadaford.description.internal;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Suggests the known name that is most similar to a misspelled name. */
final class NameSuggester {

  private static final LevenshteinDistance DISTANCE = LevenshteinDistance.getDefaultInstance();

  private NameSuggester() {}

  /** Returns the known name with the smallest edit distance, at most half of its length. */
  static Optional<String> nearest(String name, Collection<String> known) {
    return known.stream()
        .filter(candidate -> distance(name, candidate) <= candidate.length() / 2)
        .min(
            Comparator.comparingInt((String candidate) -> distance(name, candidate))
                .thenComparing(Comparator.naturalOrder()));
  }

  private static int distance(String name, String candidate) {
    return DISTANCE.apply(name, candidate);
  }
}
