package org.cicadaford.description;

import java.util.List;
import java.util.stream.Collectors;

/** Signals that description files contain errors; none of the files may be used. */
public final class InvalidDescriptionsException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<DescriptionError> errors;

  /** Creates an exception for all errors found, in the order of their positions. */
  public InvalidDescriptionsException(List<DescriptionError> errors) {
    super(
        errors.stream().map(DescriptionError::toString).collect(Collectors.joining("\n"))
            + "\nerrors: "
            + errors.size()
            + "; correct them and run the command again");
    this.errors = List.copyOf(errors);
  }

  /** Returns all errors in the order of their positions. */
  public List<DescriptionError> errors() {
    return errors;
  }
}
