package org.cicadaford.entry.stream;

/**
 * How far a stream was read.
 *
 * @param nextOffset offset behind the last record read
 * @param atEnd whether the log confirmed that no later record existed
 * @param requestedAtMillis time before the request was sent; a confirmation is at least as recent
 */
public record StreamPosition(long nextOffset, boolean atEnd, long requestedAtMillis) {}
