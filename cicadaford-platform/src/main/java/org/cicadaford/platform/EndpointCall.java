package org.cicadaford.platform;

/**
 * A call to an endpoint.
 *
 * @param requestId id of the request, by which its answer is matched
 * @param contentType media type of the body
 * @param body bytes of the request
 * @param timeoutMillis time after which the answer is no longer awaited
 */
public record EndpointCall(String requestId, String contentType, byte[] body, long timeoutMillis) {}
