package org.cicadaford.platform;

/**
 * A record in a stream.
 *
 * @param offset position in the stream
 * @param content bytes of the record
 */
public record LogEntry(long offset, byte[] content) {}
