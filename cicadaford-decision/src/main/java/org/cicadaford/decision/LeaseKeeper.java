package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cicadaford.decision.TaskStatus.Phase;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.TaskEnd;
import org.cicadaford.model.TaskReport;
import org.cicadaford.model.WorkerAnswer;
import org.cicadaford.model.WorkerCommand;
import org.cicadaford.model.WorkerCommand.Lease;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneChange.TaskEnded;
import org.cicadaford.model.ZoneChange.WorkerListed;

/** Keeps the leases of placed tasks and finds out how placements end. */
final class LeaseKeeper {

  private final String zone;
  private final OwnerSettings settings;
  private final long epochStartMillis;
  private final Map<Lease, TaskReport> reports = new HashMap<>();
  private final Map<String, Long> renewedAtMillis = new HashMap<>();

  LeaseKeeper(String zone, OwnerSettings settings, long epochStartMillis) {
    this.zone = zone;
    this.settings = settings;
    this.epochStartMillis = epochStartMillis;
  }

  void onAnswer(WorkerCommand command, WorkerAnswer answer, long sentAtMillis, long nowMillis) {
    answer.reports().forEach(report -> reports.put(report.lease(), report));
  }

  void onUnreachable(String workerId, long nowMillis) {}

  List<ZoneChange> changes(OwnerInputs inputs, long nowMillis) {
    List<ZoneChange> changes = new ArrayList<>();
    for (ListedWorker listed : inputs.listedWorkers()) {
      if (inputs.zone().worker(listed.workerId()).isEmpty()) {
        changes.add(new WorkerListed(listed.workerId(), listed.rack(), listed.capacity()));
      }
    }
    for (WorkerStatus worker : inputs.zone().workers()) {
      for (TaskStatus task : inputs.zone().committedTasksOn(worker.workerId())) {
        TaskReport report = reports.get(new Lease(task.taskId(), task.attempt()));
        if (report != null && report.state() == TaskReport.State.COMPLETED) {
          changes.add(
              new TaskEnded(
                  task.taskId(),
                  task.attempt(),
                  TaskEnd.COMPLETED,
                  report.answer(),
                  report.endedAtMillis()));
        }
      }
    }
    return changes;
  }

  List<WorkerOrder> orders(OwnerInputs inputs, long nowMillis) {
    List<WorkerOrder> orders = new ArrayList<>();
    for (WorkerStatus worker : inputs.zone().workers()) {
      List<Lease> started = new ArrayList<>();
      for (TaskStatus task : inputs.zone().committedTasksOn(worker.workerId())) {
        Lease lease = new Lease(task.taskId(), task.attempt());
        if (reports.containsKey(lease)) {
          started.add(lease);
        } else if (task.phase() == Phase.PLACED) {
          orders.add(new WorkerOrder(worker.workerId(), start(inputs, task, lease)));
        }
      }
      long dueAtMillis =
          renewedAtMillis.getOrDefault(worker.workerId(), epochStartMillis)
              + settings.renewIntervalMillis();
      if (!started.isEmpty() && nowMillis >= dueAtMillis) {
        renewedAtMillis.put(worker.workerId(), nowMillis);
        orders.add(
            new WorkerOrder(
                worker.workerId(),
                new WorkerCommand.Renew(started, nowMillis + settings.leaseMillis())));
      }
    }
    return orders;
  }

  private WorkerCommand start(OwnerInputs inputs, TaskStatus task, Lease lease) {
    JobDescription description =
        inputs.zone().job(task.taskId().jobId()).orElseThrow().description();
    return new WorkerCommand.Start(
        lease,
        task.reserved(),
        description.program(),
        description.expectedRunMillis(),
        inputs.configConfirmedAtMillis() + settings.firstLeaseMillis());
  }

  @Override
  public String toString() {
    return "leases of zone " + zone;
  }
}
