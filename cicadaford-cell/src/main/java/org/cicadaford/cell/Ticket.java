package org.cicadaford.cell;

/**
 * Permission to run the tasks of a step on one worker.
 *
 * @param value token that the start order carries
 * @param incarnation incarnation of the worker that it was issued for
 * @param validUntilMillis time until which a start order may use it, in milliseconds
 */
record Ticket(String value, long incarnation, long validUntilMillis) {}
