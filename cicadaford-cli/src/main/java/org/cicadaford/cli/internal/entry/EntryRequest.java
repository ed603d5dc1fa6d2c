package org.cicadaford.cli.internal.entry;

import java.util.Map;

/**
 * Holds a request to an entry daemon.
 *
 * @param method HTTP method
 * @param path path from the root
 * @param headers headers besides the content type
 * @param contentType media type of the body; empty if there is no body
 * @param body bytes of the body
 * @param timeoutMillis timeout of the request
 */
public record EntryRequest(
    String method,
    String path,
    Map<String, String> headers,
    String contentType,
    byte[] body,
    long timeoutMillis) {}
