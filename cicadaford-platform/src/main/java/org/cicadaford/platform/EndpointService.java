package org.cicadaford.platform;

import java.util.concurrent.CompletableFuture;

/** Calls the endpoints of services. */
public interface EndpointService {

  /**
   * Sends a call and returns a future of the complete answer. The future fails with {@link
   * EndpointException}; when the timeout expires, its kind is {@link
   * EndpointException.Kind#OUTCOME_UNKNOWN}.
   */
  CompletableFuture<EndpointAnswer> call(Member endpoint, EndpointCall call);
}
