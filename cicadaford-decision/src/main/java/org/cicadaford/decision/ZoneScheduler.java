package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cicadaford.model.Resources;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneChange.TaskPlaced;

/** Places waiting tasks on workers. */
final class ZoneScheduler {

  private final String zone;

  ZoneScheduler(String zone) {
    this.zone = zone;
  }

  List<ZoneChange> decide(OwnerInputs inputs, LeaseKeeper leaseKeeper, long nowMillis) {
    if (inputs.config().isZoneOut(zone)) {
      return List.of();
    }
    Map<String, Resources> freeByWorker = new HashMap<>();
    inputs.zone().workers().stream()
        .filter(w -> leaseKeeper.acceptsTasks(w.workerId()) && w.admitsTask(nowMillis))
        .forEach(w -> freeByWorker.put(w.workerId(), w.free()));
    List<ZoneChange> changes = new ArrayList<>();
    for (JobStatus job : inputs.zone().waitingJobs()) {
      Resources size = job.description().resourcesPerTask();
      for (TaskStatus task : inputs.zone().waitingTasksOf(job.jobId())) {
        freeByWorker.entrySet().stream()
            .filter(entry -> size.fitsIn(entry.getValue()))
            .findFirst()
            .ifPresent(
                entry -> {
                  entry.setValue(entry.getValue().minus(size));
                  changes.add(
                      new TaskPlaced(
                          task.taskId(), task.attempt() + 1, entry.getKey(), size, nowMillis));
                });
      }
    }
    return changes;
  }
}
