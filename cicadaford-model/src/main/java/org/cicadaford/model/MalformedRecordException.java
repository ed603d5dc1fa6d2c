package org.cicadaford.model;

/** Signals bytes that cannot be decoded as the expected type. */
public class MalformedRecordException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param type expected type
   * @param cause decoding error, or null if the content was decoded to something else
   */
  public MalformedRecordException(Class<?> type, Throwable cause) {
    super(
        "cannot decode "
            + type.getSimpleName()
            + ": check that the writer runs a compatible version",
        cause);
  }
}
