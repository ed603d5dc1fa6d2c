package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cicadaford.decision.WaitingIndex.QueueKey;
import org.cicadaford.model.Resources;

/**
 * Closes jobs that the workers of the zone can never run, so that their callers get an error at
 * once.
 *
 * <p>Compares jobs with the total capacity of all listed workers, not with free capacity. Workers
 * marked as leaving count, because the owner marks unreachable workers this way and a network
 * partition must not close every job. Waits until the list has been stable for a while, because it
 * may be incomplete after a start or a rack failure. Jobs with running tasks are never closed.
 */
final class InfeasibleJobDetector {

  /** Time for which the list of workers must be unchanged, in milliseconds. */
  static final long STABLE_LIST_MILLIS = 30_000;

  private static final int MAX_JOBS_PER_DECISION = 128;

  private final String zone;
  private final Map<String, List<Resources>> capacitiesByRack = new TreeMap<>();
  private long capacitiesAsOfMillis = -1;
  private QueueKey cursor = new QueueKey(Long.MIN_VALUE, "");

  InfeasibleJobDetector(String zone) {
    this.zone = zone;
  }

  void decide(PlacementRound round) {
    WorkerIndex index = round.index();
    boolean known = !index.listedWorkers().isEmpty();
    if (!known || round.nowMillis() - index.listChangedAtMillis() < STABLE_LIST_MILLIS) {
      return;
    }
    updateCapacities(index);
    QueueKey last = null;
    int count = 0;
    for (Map.Entry<QueueKey, JobStatus> entry :
        round.zone().waitingIndex().bySubmission().tailMap(cursor, false).entrySet()) {
      closeIfInfeasible(round, entry.getValue());
      last = entry.getKey();
      if (++count >= MAX_JOBS_PER_DECISION) {
        break;
      }
    }
    cursor = count < MAX_JOBS_PER_DECISION ? new QueueKey(Long.MIN_VALUE, "") : last;
  }

  private void updateCapacities(WorkerIndex index) {
    if (capacitiesAsOfMillis == index.listChangedAtMillis()) {
      return;
    }
    capacitiesAsOfMillis = index.listChangedAtMillis();
    capacitiesByRack.clear();
    for (ListedWorker worker : index.listedWorkers()) {
      capacitiesByRack
          .computeIfAbsent(worker.rack(), rack -> new ArrayList<>())
          .add(worker.capacity());
    }
  }

  private void closeIfInfeasible(PlacementRound round, JobStatus job) {
    if (round.zone().committedTaskCount(job.jobId()) == 0) {
      int taskCount = round.zone().waitingTasksOf(job.jobId()).size();
      infeasibilityReason(job, taskCount).ifPresent(reason -> round.closeImpossible(job, reason));
    }
  }

  private Optional<String> infeasibilityReason(JobStatus job, int taskCount) {
    Resources size = job.description().resourcesPerTask();
    int rackLimit = job.description().maxTasksPerRack();
    boolean isGang = PlacementRound.isGang(job);
    long required = isGang || rackLimit > 0 ? taskCount : 1;
    long fitting = 0;
    for (List<Resources> capacities : capacitiesByRack.values()) {
      long inRack = 0;
      for (Resources capacity : capacities) {
        long onWorker = fitCount(size, capacity);
        inRack += isGang ? onWorker : Math.min(1, onWorker) * required;
        if (inRack >= required) {
          break;
        }
      }
      fitting += rackLimit > 0 ? Math.min(rackLimit, inRack) : inRack;
      if (fitting >= required) {
        return Optional.empty();
      }
    }
    return Optional.of(describe(size, fitting, taskCount, isGang, rackLimit));
  }

  private String describe(
      Resources size, long fitting, int taskCount, boolean isGang, int rackLimit) {
    if (fitting == 0) {
      return "no worker of zone "
          + zone
          + " can hold a task of "
          + size
          + "; declare a smaller size";
    }
    String cause =
        isGang
            ? "the workers of zone " + zone + " can hold only " + fitting + " tasks concurrently"
            : "the racks of zone "
                + zone
                + " can hold only "
                + fitting
                + " tasks at "
                + rackLimit
                + " per rack";
    return cause + " but the job has " + taskCount + "; declare fewer tasks or more zones";
  }

  /** Returns how many tasks of a size fit into a capacity. */
  static long fitCount(Resources size, Resources capacity) {
    if (!size.fitsIn(capacity)) {
      return 0;
    }
    long count = ratio(capacity.processorsMillicores(), size.processorsMillicores());
    count = Math.min(count, ratio(capacity.memoryMebibytes(), size.memoryMebibytes()));
    return Math.min(count, ratio(capacity.acceleratorCount(), size.acceleratorCount()));
  }

  private static long ratio(long capacity, long size) {
    return size <= 0 ? Integer.MAX_VALUE : capacity / size;
  }
}
