package org.cicadaford.description;

import java.util.Comparator;

/**
 * A fault in a description file.
 *
 * @param file file as it was named or found
 * @param line line, from 1
 * @param column column, from 1
 * @param field path of the field, such as {@code jobs[0].memory}; empty for faults of the file
 * @param problem what is wrong
 * @param remedy what to write instead
 */
public record DescriptionError(
    String file, int line, int column, String field, String problem, String remedy)
    implements Comparable<DescriptionError> {

  private static final Comparator<DescriptionError> BY_PLACE =
      Comparator.comparing(DescriptionError::file)
          .thenComparingInt(DescriptionError::line)
          .thenComparingInt(DescriptionError::column)
          .thenComparing(DescriptionError::problem);

  @Override
  public int compareTo(DescriptionError other) {
    return BY_PLACE.compare(this, other);
  }

  @Override
  public String toString() {
    String place = file + ":" + line + ":" + column + ": ";
    String named = field.isEmpty() ? "" : field + ": ";
    return place + named + problem + "; " + remedy;
  }
}
