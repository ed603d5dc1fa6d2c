package org.cicadaford.description.internal;

import java.util.ArrayList;
import java.util.List;
import org.cicadaford.description.DescriptionError;

/** Collects the errors of all files so that they are reported together. */
public final class ErrorList {

  private final List<DescriptionError> errors = new ArrayList<>();

  /** Adds an error of a whole file. */
  public void addForFile(String file, String problem, String remedy) {
    add(Position.startOf(file), "", problem, remedy);
  }

  void add(Position position, String field, String problem, String remedy) {
    errors.add(
        new DescriptionError(
            position.file(), position.line(), position.column(), field, problem, remedy));
  }

  int size() {
    return errors.size();
  }

  /** Returns all errors in the order of their positions. */
  public List<DescriptionError> sorted() {
    return errors.stream().sorted().toList();
  }
}
