package org.cicadaford.coordinator.http;

/**
 * A whole answer.
 *
 * @param status status code
 * @param body body, possibly empty
 */
public record HttpAnswer(int status, byte[] body) {

  /** Returns whether the status is 200. */
  public boolean ok() {
    return status == 200;
  }
}
