package org.cicadaford.standin;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskId;
import org.cicadaford.model.TaskReport;
import org.cicadaford.model.WorkerAnswer;
import org.cicadaford.model.WorkerCommand;
import org.cicadaford.model.WorkerCommand.Checkpoint;
import org.cicadaford.model.WorkerCommand.Lease;
import org.cicadaford.model.WorkerCommand.Renew;
import org.cicadaford.model.WorkerCommand.Start;
import org.cicadaford.model.WorkerCommand.Stop;
import org.cicadaford.model.WorkerCommand.Throttle;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.PlatformRoutes;

/** Simulates a worker; it runs tasks by timer and checks neither capacity nor ownership. */
public final class WorkerStandin {

  /** Time for which ended placements are reported. */
  static final long ENDED_RETENTION_MILLIS = 600_000;

  private final Settings settings;
  private final Map<TaskId, Long> checkpointedMillis;
  private final LongSupplier clock;
  private final StandinServer server = new StandinServer(this::handle, faults -> {});
  private final Map<Lease, Placement> placements = new LinkedHashMap<>();

  /**
   * Configures a simulated worker.
   *
   * @param usagePercent percentage of their reserved resources that tasks use
   * @param usageLagMillis time from the start of a task to its first usage measurement
   */
  public record Settings(
      String workerId,
      String zone,
      String rack,
      Resources capacity,
      int port,
      int usagePercent,
      long usageLagMillis) {}

  /**
   * Creates a worker without tasks.
   *
   * @param checkpointedMillis checkpointed run time by task, shared by all workers
   * @param clock clock of the worker, in milliseconds
   */
  public WorkerStandin(
      Settings settings, Map<TaskId, Long> checkpointedMillis, LongSupplier clock) {
    this.settings = settings;
    this.checkpointedMillis = checkpointedMillis;
    this.clock = clock;
  }

  /** Starts the HTTP server. */
  public void start() throws IOException {
    server.start(settings.port());
  }

  /** Stops the HTTP server; all tasks are lost. */
  public void stop() {
    server.stop();
  }

  /** Returns the TCP port of the server. */
  public int port() {
    return server.port();
  }

  /** Replaces the active faults. */
  public void setFaults(Faults faults) {
    server.setFaults(faults);
  }

  /** Returns the announcement of this worker; empty while the worker is paused. */
  public List<Member> announcement() {
    Faults faults = server.faults();
    if (faults.paused()) {
      return List.of();
    }
    return List.of(
        new Member(
            settings.workerId(),
            Member.Role.WORKER,
            settings.zone(),
            settings.rack(),
            "127.0.0.1",
            port(),
            0,
            "",
            settings.capacity(),
            faults.leaving() ? Member.State.LEAVING : Member.State.LIVE));
  }

  private HttpAnswer handle(HttpExchange exchange, byte[] body) throws Exception {
    server.delay();
    if (!exchange.getRequestURI().getPath().equals(PlatformRoutes.COMMANDS)) {
      return HttpAnswer.empty(404);
    }
    return HttpAnswer.messagePack(200, execute(RecordCodec.decode(body, WorkerCommand.class)));
  }

  /** Executes a command and reports the placements that it concerns. */
  synchronized WorkerAnswer execute(WorkerCommand command) {
    advance();
    long nowMillis = clock.getAsLong();
    return switch (command) {
      case Start start -> {
        placements.computeIfAbsent(start.lease(), lease -> startOrRefuse(start, nowMillis));
        advance();
        yield answer(List.of(start.lease()));
      }
      case Renew renew -> {
        renew.leases().forEach(lease -> renew(lease, renew.leaseUntilMillis()));
        yield answer(List.copyOf(placements.keySet()));
      }
      case Checkpoint checkpoint -> {
        checkpoint(checkpoint.lease(), nowMillis);
        yield answer(List.of(checkpoint.lease()));
      }
      case Throttle throttle -> {
        Placement placement = placements.get(throttle.lease());
        if (placement != null) {
          placement.throttle(throttle.processorsMillicores());
        }
        yield answer(List.of(throttle.lease()));
      }
      case Stop stop -> {
        stop(stop, nowMillis);
        yield answer(List.of(stop.lease()));
      }
    };
  }

  private Placement startOrRefuse(Start start, long nowMillis) {
    if (start.leaseUntilMillis() <= nowMillis) {
      return Placement.refused(start.lease(), "the lease had ended", nowMillis);
    }
    long taskCheckpointedMillis = checkpointedMillis.getOrDefault(start.lease().taskId(), 0L);
    return Placement.started(start, taskCheckpointedMillis, server.faults().failTasks(), nowMillis);
  }

  private void renew(Lease lease, long untilMillis) {
    Placement placement = placements.get(lease);
    if (placement != null && placement.isRunning()) {
      placement.renew(untilMillis);
    }
  }

  private void checkpoint(Lease lease, long nowMillis) {
    Placement placement = placements.get(lease);
    if (placement != null && placement.isRunning()) {
      checkpointedMillis.merge(lease.taskId(), placement.elapsedMillis(nowMillis), Math::max);
    }
  }

  private void stop(Stop stop, long nowMillis) {
    if (stop.withCheckpoint()) {
      checkpoint(stop.lease(), nowMillis);
    }
    placements
        .computeIfAbsent(
            stop.lease(),
            lease -> Placement.refused(lease, "stopped before it was started", nowMillis))
        .stop("stopped", nowMillis);
  }

  /** Ends tasks whose program or lease has ended and removes those past the reporting period. */
  public synchronized void advance() {
    if (server.faults().paused()) {
      return;
    }
    long nowMillis = clock.getAsLong();
    placements.values().forEach(placement -> placement.advance(nowMillis));
    placements
        .values()
        .removeIf(placement -> placement.endedBefore(nowMillis - ENDED_RETENTION_MILLIS));
  }

  private WorkerAnswer answer(List<Lease> leases) {
    long nowMillis = clock.getAsLong();
    Integer overriddenPercent = server.faults().usagePercent();
    int usagePercent = overriddenPercent == null ? settings.usagePercent() : overriddenPercent;
    List<TaskReport> reports =
        leases.stream()
            .filter(placements::containsKey)
            .map(
                lease ->
                    placements
                        .get(lease)
                        .report(usagePercent, settings.usageLagMillis(), nowMillis))
            .toList();
    return new WorkerAnswer(settings.workerId(), reports);
  }
}
