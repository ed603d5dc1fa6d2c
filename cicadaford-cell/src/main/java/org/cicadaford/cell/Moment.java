package org.cicadaford.cell;

/**
 * The present time.
 *
 * @param steadyMillis time of a clock that never jumps, in milliseconds
 * @param unixMillis time of day as Unix time in milliseconds; it may jump
 */
public record Moment(long steadyMillis, long unixMillis) {}
