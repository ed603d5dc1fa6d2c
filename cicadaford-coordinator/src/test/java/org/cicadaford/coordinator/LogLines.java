package org.cicadaford.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Collects the log lines of a class while a test runs. */
final class LogLines implements AutoCloseable {

  private final List<String> lines = new ArrayList<>();
  private final Logger logger;
  private final Handler handler =
      new Handler() {
        @Override
        public void publish(LogRecord line) {
          lines.add(line.getMessage());
        }

        @Override
        public void flush() {
          // Lines are not buffered.
        }

        @Override
        public void close() {
          // There is nothing to release.
        }
      };

  LogLines(Class<?> source) {
    logger = Logger.getLogger(source.getName());
    logger.addHandler(handler);
  }

  List<String> lines() {
    return lines;
  }

  @Override
  public void close() {
    logger.removeHandler(handler);
  }
}
