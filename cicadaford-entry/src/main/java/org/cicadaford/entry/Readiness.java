package org.cicadaford.entry;

/**
 * Whether an instance can serve callers.
 *
 * @param ready whether it can
 * @param reason what it waits for; empty if ready
 */
public record Readiness(boolean ready, String reason) {}
