package org.cicadaford.coordinator.process;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Configures the process to log JSON lines to standard output.
 *
 * <p>The Log4j API is bound to java.util.logging, because Log4j Core loads all plug-ins at the
 * start, which took a third of the time of a restart. During a restart callers get no answer.
 */
public final class ProcessLog {

  /** Capacity of the log buffer, in lines; a busy coordinator writes about 300 lines per second. */
  private static final int BUFFERED_LINES = 2_048;

  private static final Logger ROOT_LOGGER = Logger.getLogger("");

  /** Strong reference, because the runtime holds loggers only weakly. */
  private static final Logger APPLICATION_LOGGER = Logger.getLogger("org.cicadaford");

  private ProcessLog() {}

  /** Directs all log lines to standard output; must be called before the first line is logged. */
  public static void start() {
    for (Handler handler : ROOT_LOGGER.getHandlers()) {
      ROOT_LOGGER.removeHandler(handler);
    }
    JsonLogHandler handler =
        new JsonLogHandler(new FileOutputStream(FileDescriptor.out), BUFFERED_LINES);
    handler.setLevel(Level.ALL);
    handler.start();
    ROOT_LOGGER.setLevel(Level.WARNING);
    ROOT_LOGGER.addHandler(handler);
    APPLICATION_LOGGER.setLevel(Level.INFO);
  }

  /** Writes the buffered lines and closes the log. */
  public static void stop() {
    for (Handler handler : ROOT_LOGGER.getHandlers()) {
      handler.close();
      ROOT_LOGGER.removeHandler(handler);
    }
  }
}
