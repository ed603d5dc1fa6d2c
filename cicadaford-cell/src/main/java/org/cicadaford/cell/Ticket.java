package org.cicadaford.cell;

/**
 * Permission to run the tasks of a step on one worker.
 *
 * @param value what the start has to carry
 * @param incarnation incarnation of the worker that it was issued for
 * @param validUntilMillis time up to which a start may carry it, in milliseconds
 */
record Ticket(String value, long incarnation, long validUntilMillis) {}
