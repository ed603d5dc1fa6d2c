package org.cicadaford.cli.internal.config;

import org.cicadaford.decision.ApplyResult;

/**
 * States what became of a record.
 *
 * @param offset offset of the record
 * @param verdict what every reader makes of it
 */
public record RecordFate(long offset, ApplyResult verdict) {}
