package org.cicadaford.entry.stream;

/**
 * Describes how far a stream was read.
 *
 * @param nextOffset offset after the last record read
 * @param atEnd whether the log confirmed that no later record exists
 * @param requestedAtMillis time just before the read request was sent; a confirmation of the end is
 *     at least as recent
 */
public record StreamPosition(long nextOffset, boolean atEnd, long requestedAtMillis) {}
