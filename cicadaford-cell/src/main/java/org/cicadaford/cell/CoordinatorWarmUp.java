package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.model.Resources;

/**
 * Runs a coordinator on a simulated cell, so that a standby takes over with loaded and compiled
 * code.
 *
 * <p>In cold code, 250 ms passed from the restored records to the first start. Each round submits,
 * places, starts and ends a few jobs and restores them into another coordinator.
 */
public final class CoordinatorWarmUp {

  /**
   * Number of rounds after which the methods used in a takeover have been called hundreds of times.
   */
  private static final int ROUNDS = 60;

  private static final int JOBS_PER_ROUND = 4;
  private static final int WORKERS = 20;
  private static final long STEP_MILLIS = 10;
  private static final int STEPS_PER_ROUND = 12;
  private static final String SERVICE = "service";
  private static final String TEAM = "team";
  private static final String ZONE = "zone";

  private final Queue queue =
      new Queue(
          "queue", "host", "/", SERVICE, 0, 4, 2, 250, 3_000, false, new AdvicePolicy(5, 0, 2_500));
  private final CoordinatorSettings settings = CoordinatorSettings.forPlatform(6_000, 1_000);
  private final CellConfig config =
      new CellConfig(
          1, List.of(queue), List.of(new TeamShare(TEAM, Set.of(), 1_000, Resources.NONE)));
  private final List<ListedWorker> workers = new ArrayList<>();
  private final Map<String, List<ReportedRun>> running = new HashMap<>();
  private final Map<String, RecordWrite> stored = new HashMap<>();
  private Coordinator coordinator;
  private long nowMillis = 1_000;
  private int rounds;
  private int jobs;

  /** Creates a warm-up that has not run any round. */
  public CoordinatorWarmUp() {
    for (int index = 0; index < WORKERS; index++) {
      workers.add(
          new ListedWorker(
              "w" + index,
              1,
              SERVICE,
              "10.0.0.1:" + index,
              ZONE,
              false,
              0,
              new Resources(64_000, 64_000, 0),
              Set.of("label", "rack"),
              "rack"));
    }
    coordinator = coordinator();
  }

  private Coordinator coordinator() {
    Coordinator created = new Coordinator(settings);
    created.configure(config, Set.of());
    created.adviceCallersChanged(Set.of("instance-1", "instance-2"), now());
    return created;
  }

  private ClockReading now() {
    return new ClockReading(nowMillis, nowMillis);
  }

  /** Runs one round, which takes a few milliseconds; returns whether further rounds remain. */
  public boolean runRound() {
    coordinator.workersListed(workers, now(), now());
    for (int job = 0; job < JOBS_PER_ROUND; job++) {
      submit(job % 2 == 0);
    }
    for (int step = 0; step < STEPS_PER_ROUND; step++) {
      nowMillis += STEP_MILLIS;
      coordinator.roleConfirmed(now());
      coordinator.advance(now());
      coordinator.takeBatch().ifPresent(this::store);
      coordinator.takeActions().forEach(this::carryOut);
    }
    rounds++;
    restore();
    return rounds < ROUNDS;
  }

  private void submit(boolean gang) {
    String id = "rehearsal-" + jobs++;
    StepSpec step =
        new StepSpec(
            3,
            new Resources(1_000, 100, 0),
            100,
            List.of(),
            false,
            gang,
            false,
            "",
            "",
            0,
            false,
            false,
            "",
            0,
            false,
            0);
    JobSpec spec = new JobSpec("payload", List.of(step), 0, 0, 0);
    coordinator.submit(id, queue, new Submitter(TEAM, ZONE), copyOf(spec, JobSpec.class), now());
  }

  private void store(Batch batch) {
    batch.writes().forEach(write -> stored.put(write.key(), write));
    stored.values().removeIf(write -> write.value().length == 0);
    coordinator.batchStored(now());
    coordinator.takeActions().forEach(this::carryOut);
  }

  private void carryOut(Action action) {
    switch (action) {
      case Action.StartTask start -> {
        Action.StartTask read = copyOf(start, Action.StartTask.class);
        running
            .computeIfAbsent(read.workerId(), id -> new ArrayList<>())
            .add(new ReportedRun(read.task(), read.run(), "", 50, 0));
        coordinator.startAnswered(
            read.workerId(), read.task(), read.run(), StartOutcome.STARTED, nowMillis, now());
      }
      case Action.Renew renew -> report(copyOf(renew, Action.Renew.class));
      case Action.RequestAdvice ask -> {
        Map<String, String> tickets = new HashMap<>();
        ask.workerIds().forEach(id -> tickets.put(id, "ticket"));
        coordinator.adviceAnswered(ask.callId(), tickets, 2_500, now());
      }
      default -> {
        // The other actions need no answer.
      }
    }
  }

  /** Reports that all tasks of a worker are done. */
  private void report(Action.Renew renew) {
    List<ReportedRun> rows = running.remove(renew.workerId());
    List<ReportedEnd> ends = new ArrayList<>();
    if (rows != null) {
      long number = renew.acknowledgedEnd();
      for (ReportedRun row : rows) {
        ends.add(new ReportedEnd(++number, row.task(), row.run(), EndKind.DONE, ""));
      }
    }
    WorkerReport report =
        new WorkerReport(renew.workerId(), 1, nowMillis, nowMillis, List.of(), ends, true);
    coordinator.reportReceived(
        copyOf(report, WorkerReport.class), coordinator.lastEventNumber(), now());
  }

  /** Restores the stored records into a new coordinator, as a takeover does. */
  private void restore() {
    Coordinator next = coordinator();
    next.restore(List.copyOf(stored.values()), now());
    next.workersListed(workers, now(), now());
    next.advance(now());
  }

  /** Returns a copy that was encoded and decoded, as for transfer between instances. */
  private static <T> T copyOf(T value, Class<T> type) {
    try {
      return RecordCodec.decode(RecordCodec.encode(value), type);
    } catch (MalformedRecordException e) {
      throw new IllegalStateException("an encoded record of this module cannot be decoded", e);
    }
  }
}
