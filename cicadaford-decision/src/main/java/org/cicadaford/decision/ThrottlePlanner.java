package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.cicadaford.model.Resources;
import org.cicadaford.model.WorkerCommand;

/**
 * Throttles tasks to their reservation on workers whose tasks use more processors than the worker
 * has.
 */
final class ThrottlePlanner {

  private final LeaseTable leases;
  private final LifeCycleSettings settings;

  ThrottlePlanner(LeaseTable leases, LifeCycleSettings settings) {
    this.leases = leases;
    this.settings = settings;
  }

  List<AddressedCommand> decide(
      ReconcileRound round, WorkerStatus worker, Collection<TaskStatus> committedTasks) {
    long usedMillicores = 0;
    for (TaskStatus task : committedTasks) {
      usedMillicores += usedMillicores(leases.entry(task));
    }
    List<AddressedCommand> commands = new ArrayList<>();
    if (usedMillicores <= worker.capacity().processorsMillicores()) {
      return commands;
    }
    for (TaskStatus task : committedTasks) {
      LeaseEntry entry = leases.entry(task);
      long reserved = task.reserved().processorsMillicores();
      // Usage reports lag, so the effect of a throttle shows only later.
      boolean throttledRecently =
          entry.throttledAtMillis > 0
              && round.nowMillis() < entry.throttledAtMillis + settings.throttleIntervalMillis();
      if (usedMillicores(entry) > reserved && !throttledRecently) {
        entry.throttledAtMillis = round.nowMillis();
        commands.add(
            new AddressedCommand(
                worker.workerId(),
                new WorkerCommand.Throttle(ReconcileRound.leaseOf(task), reserved)));
      }
    }
    return commands;
  }

  private static long usedMillicores(LeaseEntry entry) {
    Resources usage = entry.isRunning() ? entry.report.usage() : null;
    return usage == null ? 0 : usage.processorsMillicores();
  }
}
