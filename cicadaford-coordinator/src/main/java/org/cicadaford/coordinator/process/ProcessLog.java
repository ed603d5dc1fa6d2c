package org.cicadaford.coordinator.process;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Sets up the log of a process: JSON lines on standard output.
 *
 * <p>The code logs by Log4j's interface, which is bound to the runtime's own loggers here. Log4j's
 * core loads all of its plug-ins at the start, which took a third of the time of a restart, and a
 * restart is time in which callers get no answer.
 */
public final class ProcessLog {

  /** Lines that wait to be written; a busy coordinator writes about 300 lines a second. */
  private static final int BUFFERED_LINES = 2_048;

  private static final Logger ROOT = Logger.getLogger("");

  /** Kept here, as the runtime holds loggers only weakly. */
  private static final Logger PRODUCT = Logger.getLogger("org.cicadaford");

  private ProcessLog() {}

  /** Sends all further log lines to standard output; to be called before the first one. */
  public static void start() {
    for (Handler handler : ROOT.getHandlers()) {
      ROOT.removeHandler(handler);
    }
    JsonLogHandler handler =
        new JsonLogHandler(new FileOutputStream(FileDescriptor.out), BUFFERED_LINES);
    handler.setLevel(Level.ALL);
    handler.start();
    ROOT.setLevel(Level.WARNING);
    ROOT.addHandler(handler);
    PRODUCT.setLevel(Level.INFO);
  }

  /** Writes the lines that wait and ends the log. */
  public static void stop() {
    for (Handler handler : ROOT.getHandlers()) {
      handler.close();
      ROOT.removeHandler(handler);
    }
  }
}
