package org.cicadaford.coordinator;

import java.nio.charset.StandardCharsets;

/** Prepares text from outside the process for log lines. */
public final class LogText {

  private static final String CUT_MARK = "...";

  private LogText() {}

  /**
   * Returns the beginning of a text, of about {@code maxLength} characters, with each character
   * that is not visible ASCII or a space escaped.
   */
  public static String bounded(String text, int maxLength) {
    StringBuilder bounded = new StringBuilder();
    for (int index = 0; index < text.length(); index++) {
      if (bounded.length() >= maxLength) {
        return bounded.append(CUT_MARK).toString();
      }
      char character = text.charAt(index);
      if (character >= ' ' && character <= '~') {
        bounded.append(character);
      } else {
        bounded.append(String.format("\\u%04x", (int) character));
      }
    }
    return bounded.toString();
  }

  /** Returns the beginning of the text in {@code content}, like {@link #bounded(String, int)}. */
  public static String bounded(byte[] content, int maxLength) {
    int length = Math.min(content.length, maxLength + 1);
    return bounded(new String(content, 0, length, StandardCharsets.UTF_8), maxLength);
  }
}
