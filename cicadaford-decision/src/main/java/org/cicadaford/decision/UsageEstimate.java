package org.cicadaford.decision;

/**
 * What tasks of one description have been measured to need, within a tenth of each amount.
 *
 * @param processorsMillicores processors that 95% of the reports stay below
 * @param memoryMebibytes memory that 95% of the reports stay below
 * @param runMillis median run time of tasks that ran to their end; 0 if none did
 * @param reportCount number of recent usage reports that this is made from
 */
public record UsageEstimate(
    long processorsMillicores, long memoryMebibytes, long runMillis, long reportCount) {}
