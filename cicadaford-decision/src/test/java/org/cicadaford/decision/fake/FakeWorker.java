package org.cicadaford.decision.fake;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskId;
import org.cicadaford.model.TaskReport;
import org.cicadaford.model.TaskReport.State;
import org.cicadaford.model.WorkerAnswer;
import org.cicadaford.model.WorkerCommand;
import org.cicadaford.model.WorkerCommand.Lease;

/**
 * Simulates a worker with its own clock. It refuses starts whose lease has expired or was stopped
 * and ends tasks when their lease expires, but performs no other checks.
 */
final class FakeWorker {

  final String id;
  final Resources capacity;
  final Map<Lease, Run> running = new HashMap<>();
  private final Map<Lease, TaskReport> ended = new HashMap<>();
  private final Set<Lease> stopped = new HashSet<>();
  private final long clockOffsetMillis;
  private final Listener listener;
  boolean dead;
  boolean paused;
  boolean failsAll;
  boolean listed = true;
  boolean leaving;

  /** Receives an event for each task that starts or writes a checkpoint. */
  interface Listener {
    void onStart(FakeWorker worker, WorkerCommand.Start start);

    void onCheckpoint(TaskId taskId);
  }

  /** A running task; times are by the worker's clock. */
  static final class Run {
    final WorkerCommand.Start start;
    final long startedAtMillis;
    long untilMillis;

    Run(WorkerCommand.Start start, long startedAtMillis) {
      this.start = start;
      this.startedAtMillis = startedAtMillis;
      this.untilMillis = start.leaseUntilMillis();
    }
  }

  FakeWorker(String id, Resources capacity, long clockOffsetMillis, Listener listener) {
    this.id = id;
    this.capacity = capacity;
    this.clockOffsetMillis = clockOffsetMillis;
    this.listener = listener;
  }

  /**
   * Ends tasks that have completed or whose lease has expired; a paused worker runs nothing, so it
   * may do this late.
   */
  void tick(long trueMillis) {
    long nowMillis = trueMillis + clockOffsetMillis;
    Iterator<Run> runs = running.values().iterator();
    while (!paused && runs.hasNext()) {
      Run run = runs.next();
      boolean fails = failsAll || run.start.program().startsWith("fail");
      long runMillis = failsAll ? 100 : run.start.expectedRunMillis();
      boolean done = nowMillis >= run.startedAtMillis + runMillis;
      if (done || nowMillis >= run.untilMillis) {
        runs.remove();
        end(run, done ? fails ? State.FAILED : State.COMPLETED : State.STOPPED, nowMillis);
      }
    }
  }

  private void end(Run run, State state, long nowMillis) {
    Lease lease = run.start.lease();
    ended.put(
        lease,
        new TaskReport(
            lease,
            state,
            "",
            run.start.reserved(),
            run.startedAtMillis,
            nowMillis,
            run.untilMillis));
  }

  /** Loses all tasks and state, and comes back under the same id. */
  void restart() {
    running.clear();
    ended.clear();
    stopped.clear();
  }

  WorkerAnswer handle(WorkerCommand command, long trueMillis) {
    long nowMillis = trueMillis + clockOffsetMillis;
    return switch (command) {
      case WorkerCommand.Start start -> start(start, nowMillis);
      case WorkerCommand.Renew renew -> renew(renew);
      case WorkerCommand.Stop stop -> stop(stop, nowMillis);
      case WorkerCommand.Checkpoint checkpoint -> answer(checkpoint.lease());
      case WorkerCommand.Throttle throttle -> answer(throttle.lease());
    };
  }

  private WorkerAnswer start(WorkerCommand.Start start, long nowMillis) {
    Lease lease = start.lease();
    if (!running.containsKey(lease) && !ended.containsKey(lease)) {
      if (start.leaseUntilMillis() <= nowMillis || stopped.contains(lease)) {
        ended.put(lease, new TaskReport(lease, State.REFUSED, "", Resources.NONE, 0, nowMillis, 0));
      } else {
        running.put(lease, new Run(start, nowMillis));
        listener.onStart(this, start);
      }
    }
    return answer(lease);
  }

  private WorkerAnswer stop(WorkerCommand.Stop stop, long nowMillis) {
    Lease lease = stop.lease();
    stopped.add(lease);
    Run run = running.remove(lease);
    if (run != null) {
      if (stop.withCheckpoint()) {
        listener.onCheckpoint(lease.taskId());
      }
      end(run, State.STOPPED, nowMillis);
    }
    ended.putIfAbsent(
        lease, new TaskReport(lease, State.STOPPED, "", Resources.NONE, 0, nowMillis, 0));
    return answer(lease);
  }

  private WorkerAnswer renew(WorkerCommand.Renew renew) {
    for (Lease lease : renew.leases()) {
      Run run = running.get(lease);
      if (run != null) {
        run.untilMillis = Math.max(run.untilMillis, renew.leaseUntilMillis());
      }
    }
    return new WorkerAnswer(
        id,
        Stream.concat(running.values().stream().map(FakeWorker::report), ended.values().stream())
            .toList());
  }

  private WorkerAnswer answer(Lease lease) {
    Run run = running.get(lease);
    TaskReport report = run == null ? ended.get(lease) : report(run);
    return new WorkerAnswer(id, report == null ? List.of() : List.of(report));
  }

  private static TaskReport report(Run run) {
    return new TaskReport(
        run.start.lease(),
        State.RUNNING,
        "",
        run.start.reserved(),
        run.startedAtMillis,
        0,
        run.untilMillis);
  }
}
