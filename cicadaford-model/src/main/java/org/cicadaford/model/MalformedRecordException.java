package org.cicadaford.model;

/** Signals bytes that are not a record of the expected type. */
public class MalformedRecordException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param type expected type
   * @param cause what was wrong, or null if the content has another meaning
   */
  public MalformedRecordException(Class<?> type, Throwable cause) {
    super(
        "bytes are not a "
            + type.getSimpleName()
            + "; check that the writer runs a compatible version",
        cause);
  }
}
