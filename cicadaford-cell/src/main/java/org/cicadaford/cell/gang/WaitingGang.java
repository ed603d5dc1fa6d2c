package org.cicadaford.cell.gang;

import java.util.List;
import org.cicadaford.model.Resources;

/**
 * A gang that waits for capacity.
 *
 * @param id name of the gang
 * @param priority urgency; 0 is the most urgent
 * @param memberCount number of tasks, which start together
 * @param demand resources that each task reserves
 * @param maxPerWorker maximum number of tasks on one worker, or 0 for no limit
 * @param runMillis expected run time of a task, in milliseconds
 * @param adviceMillis time until valid tickets can be available, in milliseconds
 * @param workers workers that may run its tasks, the preferred ones first
 */
public record WaitingGang(
    String id,
    int priority,
    int memberCount,
    Resources demand,
    int maxPerWorker,
    long runMillis,
    long adviceMillis,
    List<WorkerCapacity> workers) {}
