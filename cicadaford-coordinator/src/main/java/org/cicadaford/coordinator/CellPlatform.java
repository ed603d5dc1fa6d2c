package org.cicadaford.coordinator;

import org.cicadaford.coordinator.http.HttpClient;
import org.cicadaford.coordinator.http.RequestHandler;

/**
 * Holds the clients through which a cell uses its platform.
 *
 * @param store client of the platform's store
 * @param workers client of its workers
 * @param advice client of its placement advice service
 * @param directory reader of its worker list and operators' settings
 */
public record CellPlatform(
    CellStore store, WorkerClient workers, AdviceClient advice, CellDirectory directory) {

  /** Creates the clients of a platform. */
  public interface Factory {

    /** Returns clients that use {@code http} and report entries that cannot be used. */
    CellPlatform create(HttpClient http, RejectedEntryLog rejected);
  }

  /** Returns these clients with another directory. */
  CellPlatform withDirectory(CellDirectory other) {
    return new CellPlatform(store, workers, advice, other);
  }

  /** Creates the responder that decodes callers' requests. */
  public interface ResponderFactory {

    /** Returns a responder that uses the given client and authorizer. */
    RequestHandler.Responder createResponder(CellClient client, RequestAuthorizer authorizer);
  }
}
