package org.cicadaford.adapter.standin;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start of the case. */
final class Record {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the time since the start of the case, in milliseconds. */
  long nowMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void write(String format, Object... values) {
    out.printf("%7.3f %s%n", nowMillis() / 1000.0, String.format(format, values));
  }

  /** Writes a line to the record and to standard output. */
  synchronized void say(String format, Object... values) {
    write(format, values);
    System.out.printf(format + "%n", values);
  }
}
