package org.cicadaford.cli.internal.entry;

import java.nio.charset.StandardCharsets;

/**
 * Holds the answer of an entry daemon.
 *
 * @param statusCode HTTP status
 * @param contentType media type of the body, or empty
 * @param body bytes of the body
 */
public record EntryAnswer(int statusCode, String contentType, byte[] body) {

  /** Returns the body as UTF-8 text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
