package org.cicadaford.cli.internal.command;

import org.cicadaford.platform.LogService;

/** Opens clients of the log. */
public interface LogConnector {

  /**
   * A client of the log that is to be closed.
   *
   * @param log the client
   * @param onClose releases its connections
   */
  record OpenLog(LogService log, Runnable onClose) implements AutoCloseable {

    @Override
    public void close() {
      onClose.run();
    }
  }

  /** Opens a client of the log at this address. */
  OpenLog open(String host, int port);
}
