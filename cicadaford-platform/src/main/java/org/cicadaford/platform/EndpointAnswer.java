package org.cicadaford.platform;

/**
 * An endpoint's whole answer.
 *
 * @param requestId id of the request that it answers
 * @param statusCode HTTP status
 * @param contentType media type of the body
 * @param body bytes of the answer
 */
public record EndpointAnswer(String requestId, int statusCode, String contentType, byte[] body) {}
