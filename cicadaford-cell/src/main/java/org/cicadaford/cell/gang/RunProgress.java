package org.cicadaford.cell.gang;

/**
 * What is known of a run that is in progress.
 *
 * @param kind kind of work, whose run times are alike: {@code QUEUE.STEP}
 * @param estimateMillis run time that the submitter has estimated, in milliseconds
 * @param startedAtMillis time of the start order, in milliseconds
 * @param percent reported progress in percent; below 0 if none was reported
 * @param percentAtMillis time at which the reported progress last changed, in milliseconds
 */
public record RunProgress(
    String kind, long estimateMillis, long startedAtMillis, int percent, long percentAtMillis) {}
