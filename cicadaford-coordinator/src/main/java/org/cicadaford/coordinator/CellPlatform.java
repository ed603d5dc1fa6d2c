package org.cicadaford.coordinator;

import org.cicadaford.coordinator.http.RequestHandler;

/**
 * What connects a cell to the platform on which it runs.
 *
 * @param store the platform's store
 * @param orders orders to its workers
 * @param advice its service for placement advice
 * @param directory its lists of workers and operators' settings
 */
public record CellPlatform(
    CellStore store, WorkerClient orders, AdviceClient advice, CellDirectory directory) {

  /** Makes the part that decodes callers' requests, once the node that serves them is known. */
  public interface ResponderFactory {

    /** Returns the responder of a node. */
    RequestHandler.Responder createResponder(CellClient client, RequestAuthorizer authorizer);
  }
}
