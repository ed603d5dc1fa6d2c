package org.cicadaford.cli.internal.config;

import org.cicadaford.decision.ApplyResult;

/**
 * Holds the outcome of a record in the stream.
 *
 * @param offset offset of the record
 * @param applyResult result of applying the record to the configuration
 */
public record RecordOutcome(long offset, ApplyResult applyResult) {}
