package org.cicadaford.decision;

/**
 * Holds the measured resource usage of one description's tasks, with an error of up to a tenth.
 *
 * @param processorsMillicores processors that 95% of the reports stay below
 * @param memoryMebibytes memory that 95% of the reports stay below
 * @param runMillis median run time of completed tasks; 0 if there are none
 * @param reportCount number of recent usage reports used
 */
public record UsageEstimate(
    long processorsMillicores, long memoryMebibytes, long runMillis, long reportCount) {}
