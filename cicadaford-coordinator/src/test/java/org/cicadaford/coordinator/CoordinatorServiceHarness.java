package org.cicadaford.coordinator;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.AdvicePolicy;
import org.cicadaford.cell.CellConfig;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.CoordinatorSettings;
import org.cicadaford.cell.FencingToken;
import org.cicadaford.cell.JobSpec;
import org.cicadaford.cell.ListedWorker;
import org.cicadaford.cell.Queue;
import org.cicadaford.cell.RecordWrite;
import org.cicadaford.cell.ReportedRun;
import org.cicadaford.cell.StartOutcome;
import org.cicadaford.cell.StepSpec;
import org.cicadaford.cell.TeamShare;
import org.cicadaford.cell.WorkerReport;
import org.cicadaford.model.Resources;
import org.cicadaford.wire.PeerMessage;

/** Runs a {@link CoordinatorService} of one worker on a clock and a store that a test controls. */
abstract class CoordinatorServiceHarness {

  static final Queue QUEUE =
      new Queue("q", "h", "/q/", "svc", 0, 3, 2, 250, 3_000, false, AdvicePolicy.NONE);
  static final JobSpec SPEC = new JobSpec("payload", List.of(step()), 0, 0, 0);

  private final EmbeddedChannel channel = new EmbeddedChannel();

  /** An append that a test answers. */
  record Append(List<RecordWrite> records, CompletableFuture<AppendOutcome> outcome) {
    boolean holdsProgress() {
      return records.stream().anyMatch(write -> write.key().startsWith("p/"));
    }
  }

  final Deque<Append> appends = new ArrayDeque<>();
  final List<Action.StartTask> starts = new ArrayList<>();
  final List<Action.Renew> renewals = new ArrayList<>();
  long monotonicMillis = 10_000;
  long unixMillis = 1_700_000_000_000L;
  long workerClockOffsetMillis;
  boolean storing = true;
  boolean deposed;

  /** Stored records by key. */
  final Map<String, RecordWrite> stored = new LinkedHashMap<>();

  /** Job of which the worker reports runs that end the coordinator with an exception. */
  String faultyJob = "none";

  /** Whether the store rejects an append with a record for its content. */
  Predicate<RecordWrite> refuses = write -> false;

  Supplier<CompletableFuture<List<ListedWorker>>> listing = CoordinatorServiceHarness::soundListing;

  /** Time in which the worker list is read. */
  long listMillis;

  boolean listFails;

  private static StepSpec step() {
    Resources demand = new Resources(1_000, 100, 0);
    return new StepSpec(
        1, demand, 500, List.of(), false, false, false, "", "", 0, false, false, "", 0, false, 0);
  }

  long workerClockMillis() {
    return monotonicMillis + workerClockOffsetMillis;
  }

  ClockReading now() {
    return new ClockReading(monotonicMillis, unixMillis);
  }

  private CellStore store() {
    return new UnusedCellStore() {
      @Override
      public CompletableFuture<AppendOutcome> append(
          long epoch, long sequence, List<RecordWrite> records) {
        CompletableFuture<AppendOutcome> outcome = new CompletableFuture<>();
        if (storing) {
          boolean refused = records.stream().anyMatch(refuses);
          return answer(5, () -> refused ? AppendOutcome.REJECTED : store(records));
        }
        appends.add(new Append(records, outcome));
        return outcome;
      }
    };
  }

  private AppendOutcome store(List<RecordWrite> records) {
    for (RecordWrite write : records) {
      if (write.value().length == 0) {
        stored.remove(write.key());
      } else {
        stored.put(write.key(), write);
      }
    }
    return AppendOutcome.STORED;
  }

  private WorkerClient workerClient() {
    return new WorkerClient() {
      @Override
      public CompletableFuture<StartAnswer> start(Action.StartTask order, FencingToken token) {
        starts.add(order);
        return answer(5, () -> new StartAnswer(StartOutcome.STARTED, workerClockMillis(), ""));
      }

      @Override
      public CompletableFuture<Boolean> stop(Action.StopTask order, FencingToken token) {
        return answer(5, () -> true);
      }

      @Override
      public CompletableFuture<RenewalAnswer> renew(
          Action.Renew order, FencingToken token, long nowMillis) {
        renewals.add(order);
        return answer(5 + order.waitMillis(), () -> report(nowMillis));
      }
    };
  }

  private <T> CompletableFuture<T> answer(long afterMillis, Supplier<T> value) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    channel
        .eventLoop()
        .schedule(() -> answer.complete(value.get()), afterMillis, TimeUnit.MILLISECONDS);
    return answer;
  }

  private WorkerClient.RenewalAnswer report(long sentAtMillis) {
    List<ReportedRun> running =
        starts.stream()
            .map(start -> new ReportedRun(start.task(), start.run(), checkpointOf(start), 50, 0))
            .toList();
    WorkerReport report =
        new WorkerReport("w", 1, workerClockMillis(), sentAtMillis, running, List.of(), true);
    return new WorkerClient.RenewalAnswer(WorkerClient.RenewalOutcome.REPORTED, report);
  }

  private String checkpointOf(Action.StartTask start) {
    // No worker reports null, as its reports are decoded; it stands for any fault.
    return start.task().startsWith(faultyJob + ".") ? null : "";
  }

  private CellDirectory directory() {
    return new CellDirectory() {
      @Override
      public CompletableFuture<PublishedConfig> awaitConfigChange(long waitMillis) {
        return new CompletableFuture<>();
      }

      @Override
      public CompletableFuture<List<ListedWorker>> listWorkers() {
        if (listFails) {
          return CompletableFuture.failedFuture(new IOException("the store refuses reads"));
        }
        return listMillis == 0
            ? listing.get()
            : answer(listMillis, CoordinatorServiceHarness::soundWorkers);
      }
    };
  }

  static CompletableFuture<List<ListedWorker>> soundListing() {
    return CompletableFuture.completedFuture(soundWorkers());
  }

  private static List<ListedWorker> soundWorkers() {
    Resources capacity = new Resources(8_000, 8_000, 0);
    return List.of(
        new ListedWorker("w", 1, "svc", "w:1", "z", false, 0, capacity, Set.of(), "rack"));
  }

  CoordinatorService service() {
    return service(now());
  }

  CoordinatorService service(ClockReading claimedAt) {
    channel.freezeTime();
    PeerMessage.Hello self = new PeerMessage.Hello("e1", "z");
    CellMetrics metrics = new CellMetrics();
    HelperPool helpers =
        new HelperPool(
            self,
            (step, workers, timeout) -> new CompletableFuture<>(),
            CellSettings.HELPER_LINK_SETTINGS,
            channel.eventLoop(),
            channel.eventLoop(),
            () -> null,
            () -> monotonicMillis);
    CoordinatorService service =
        new CoordinatorService(
            new Leadership(7, "e1", "10.0.0.1:7000"),
            claimedAt,
            CoordinatorSettings.forPlatform(6_000, 60_000),
            store(),
            workerClient(),
            helpers,
            directory(),
            channel.eventLoop(),
            this::now,
            metrics,
            new DecisionLog(metrics, () -> monotonicMillis),
            () -> deposed = true);
    CellConfig config =
        new CellConfig(1, List.of(QUEUE), List.of(new TeamShare("t", Set.of(), 0, Resources.NONE)));
    service.start(
        List.copyOf(stored.values()), new CellDirectory.PublishedConfig(config, Set.of()));
    return service;
  }

  void advanceTime(long millis) {
    for (long passed = 0; passed < millis; passed += 5) {
      monotonicMillis += 5;
      unixMillis += 5;
      channel.advanceTimeBy(5, TimeUnit.MILLISECONDS);
      channel.runPendingTasks();
    }
  }

  /** Returns the append that contains the placement, after storing the heartbeats before it. */
  Append placement() {
    for (int round = 0; round < 20; round++) {
      advanceTime(15);
      if (!appends.isEmpty() && appends.getLast().holdsProgress()) {
        return appends.removeLast();
      }
      appends.forEach(append -> append.outcome().complete(AppendOutcome.STORED));
      appends.clear();
    }
    throw new IllegalStateException("no placement was appended");
  }
}
