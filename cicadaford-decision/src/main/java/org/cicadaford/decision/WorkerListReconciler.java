package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cicadaford.model.Resources;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneChange.WorkerListed;
import org.cicadaford.model.ZoneChange.WorkerUnlisted;

/** Reconciles the recorded workers with the platform's list. */
final class WorkerListReconciler {

  private final LeaseTable leases;

  WorkerListReconciler(LeaseTable leases) {
    this.leases = leases;
  }

  List<ZoneChange> decide(ReconcileRound round) {
    List<ZoneChange> changes = new ArrayList<>();
    List<ListedWorker> list = round.inputs().listedWorkers();
    if (list.isEmpty()) {
      // The list is empty while the owner has just started or the platform is unavailable.
      return changes;
    }
    Map<String, ListedWorker> listedById = new HashMap<>();
    for (ListedWorker listed : list) {
      listedById.put(listed.workerId(), listed);
      if (!listed.leaving()) {
        addListed(round, listed, changes);
      }
    }
    for (WorkerStatus worker : round.zone().workers()) {
      ListedWorker listed = listedById.get(worker.workerId());
      boolean leaving = listed == null || listed.leaving();
      WorkerLeaseState workerState = leases.workerState(worker.workerId());
      workerState.hasUpdate = workerState.hasUpdate || workerState.leaving != leaving;
      workerState.leaving = leaving;
      if (leaving && worker.taskCount() == 0) {
        changes.add(new WorkerUnlisted(worker.workerId()));
      }
    }
    return changes;
  }

  private static void addListed(
      ReconcileRound round, ListedWorker listed, List<ZoneChange> changes) {
    WorkerStatus worker = round.zone().worker(listed.workerId()).orElse(null);
    if (worker == null) {
      changes.add(new WorkerListed(listed.workerId(), listed.rack(), listed.capacity()));
      return;
    }
    Resources effective = WorkerTable.max(listed.capacity(), worker.committed());
    if (!worker.rack().equals(listed.rack()) || !worker.capacity().equals(effective)) {
      changes.add(new WorkerListed(listed.workerId(), listed.rack(), listed.capacity()));
    }
  }
}
