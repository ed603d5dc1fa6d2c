package org.cicadaford.cell;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A run that a worker reports as running.
 *
 * @param task name of the task
 * @param run number of the run
 * @param checkpoint newest checkpoint, or an empty string
 * @param progressPercent progress in percent
 * @param load tail latency of a serving task in milliseconds, otherwise millicores in use
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ReportedRun(
    String task, int run, String checkpoint, int progressPercent, long load) {}
