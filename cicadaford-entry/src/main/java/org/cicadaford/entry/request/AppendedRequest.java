package org.cicadaford.entry.request;

import org.cicadaford.decision.Verdict;

/**
 * A request record that was read back from the log.
 *
 * @param offset its offset
 * @param verdict whether it took effect
 */
public record AppendedRequest(long offset, Verdict verdict) {}
