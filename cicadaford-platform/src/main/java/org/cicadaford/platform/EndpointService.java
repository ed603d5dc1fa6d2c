package org.cicadaford.platform;

import java.util.concurrent.CompletableFuture;

/** Calls the endpoints of services. */
public interface EndpointService {

  /**
   * Sends a call and returns the whole answer, which completes exceptionally with {@link
   * EndpointException}. A call whose timeout passes completes at once as {@link
   * EndpointException.Kind#OUTCOME_UNKNOWN}.
   */
  CompletableFuture<EndpointAnswer> call(Member endpoint, EndpointCall call);
}
