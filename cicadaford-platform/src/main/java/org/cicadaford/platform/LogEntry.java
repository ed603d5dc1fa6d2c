package org.cicadaford.platform;

/**
 * Holds a record of a stream and its offset.
 *
 * @param offset position in the stream
 * @param content serialized record
 */
public record LogEntry(long offset, byte[] content) {}
