package org.cicadaford.cell;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A run that a worker reports as ended.
 *
 * @param number sequence number of the end on the worker, from 1 in each incarnation
 * @param task name of the task
 * @param run number of the run
 * @param kind how the run ended
 * @param checkpoint newest checkpoint, or an empty string
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ReportedEnd(long number, String task, int run, EndKind kind, String checkpoint) {}
