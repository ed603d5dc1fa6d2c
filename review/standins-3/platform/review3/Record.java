package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes the record of a case: what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {

  private final PrintWriter out;
  private final long startedNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  /** Returns the time since the start of the case, in milliseconds. */
  long nowMillis() {
    return (System.nanoTime() - startedNanos) / 1_000_000;
  }

  synchronized void write(String format, Object... values) {
    String text = String.format(Locale.ROOT, format, values);
    out.println(String.format(Locale.ROOT, "%8.3f %s", nowMillis() / 1_000.0, text));
  }

  @Override
  public void close() {
    out.close();
  }
}
