package org.cicadaford.platform;

/**
 * Holds a call to an endpoint.
 *
 * @param requestId request id that the answer must repeat
 * @param contentType media type of the body
 * @param body request body
 * @param timeoutMillis time after which the caller stops waiting for the answer
 */
public record EndpointCall(String requestId, String contentType, byte[] body, long timeoutMillis) {}
