package org.cicadaford.description;

import java.util.Comparator;

/**
 * Describes an error in a description file.
 *
 * @param file path of the file as it was given or found
 * @param line line number, from 1
 * @param column column number, from 1
 * @param field path of the field, such as {@code jobs[0].memory}; empty for errors of the whole
 *     file
 * @param problem what is wrong
 * @param remedy suggested correction
 */
public record DescriptionError(
    String file, int line, int column, String field, String problem, String remedy)
    implements Comparable<DescriptionError> {

  private static final Comparator<DescriptionError> BY_POSITION =
      Comparator.comparing(DescriptionError::file)
          .thenComparingInt(DescriptionError::line)
          .thenComparingInt(DescriptionError::column)
          .thenComparing(DescriptionError::problem);

  @Override
  public int compareTo(DescriptionError other) {
    return BY_POSITION.compare(this, other);
  }

  @Override
  public String toString() {
    String position = file + ":" + line + ":" + column + ": ";
    String fieldPrefix = field.isEmpty() ? "" : field + ": ";
    return position + fieldPrefix + problem + "; " + remedy;
  }
}
