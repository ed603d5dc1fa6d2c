package org.cicadaford.cell.gang;

import java.util.Map;

/**
 * Earliest time at which all tasks of a gang fit.
 *
 * @param startMillis expected start, in milliseconds
 * @param tasksByWorker number of tasks for which there is room, by worker id; more than the gang
 *     has, as far as spare room becomes free soon after the expected start
 */
public record GangPlan(long startMillis, Map<String, Integer> tasksByWorker) {}
