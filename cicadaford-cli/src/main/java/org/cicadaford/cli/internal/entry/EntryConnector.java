package org.cicadaford.cli.internal.entry;

import java.net.URI;

/** Sends requests to entry daemons. */
public interface EntryConnector {

  /**
   * Sends a request once and returns the answer whatever its status.
   *
   * @throws EntryFailureException if no complete answer arrived
   */
  EntryAnswer send(URI daemon, EntryRequest request) throws EntryFailureException;
}
