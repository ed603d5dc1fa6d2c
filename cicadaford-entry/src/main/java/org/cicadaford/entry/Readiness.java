package org.cicadaford.entry;

/**
 * Reports whether an instance can serve callers.
 *
 * @param ready whether it can serve callers
 * @param reason what is missing; empty if ready
 */
public record Readiness(boolean ready, String reason) {}
