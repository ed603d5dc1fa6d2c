package org.cicadaford.platform;

/**
 * Holds an endpoint's complete answer.
 *
 * @param requestId id of the answered request
 * @param statusCode HTTP status code
 * @param contentType media type of the body
 * @param body response body
 */
public record EndpointAnswer(String requestId, int statusCode, String contentType, byte[] body) {}
