package org.cicadaford.coordinator.http;

/**
 * Holds a complete HTTP response.
 *
 * @param status status code
 * @param body body, possibly empty
 */
public record BufferedHttpResponse(int status, byte[] body) {

  /** Returns whether the status is 200. */
  public boolean isOk() {
    return status == 200;
  }
}
