package org.cicadaford.cli.internal.command;

import org.cicadaford.platform.LogService;
import org.cicadaford.platform.MembershipService;

/** Opens clients of the log. */
public interface LogConnector {

  /**
   * Holds clients of the log and of the membership list until they are closed.
   *
   * @param log client of the log
   * @param membership client of the membership list, which is served at the log's address
   * @param onClose action that releases the connections
   */
  record OpenLog(LogService log, MembershipService membership, Runnable onClose)
      implements AutoCloseable {

    @Override
    public void close() {
      onClose.run();
    }
  }

  /** Opens a client of the log at this address. */
  OpenLog open(String host, int port);
}
