package org.cicadaford.coordinator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.AdmissionDecision;
import org.cicadaford.cell.Batch;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.Coordinator;
import org.cicadaford.cell.CoordinatorSettings;
import org.cicadaford.cell.ElapsedTime;
import org.cicadaford.cell.JobSpec;
import org.cicadaford.cell.JobView;
import org.cicadaford.cell.Queue;
import org.cicadaford.cell.RecordWrite;
import org.cicadaford.cell.Submitter;

/** Runs the {@link Coordinator} of one epoch: stores its batches and carries out its actions. */
public final class CoordinatorService {

  private static final Logger LOGGER = LogManager.getLogger(CoordinatorService.class);

  /** Time between rounds without an event, in milliseconds. */
  private static final long ROUND_MILLIS = 25;

  /** Age of the last stored batch up to which new work is accepted, in milliseconds. */
  private static final long SOUND_MILLIS = 1_000;

  /** Reply while the last append is too old to be sure of the role. */
  private static final CellReply STORE_SILENT =
      CellReply.of(CellOutcome.REFUSED, "the store does not answer");

  /** Time between two readings of the list of workers, in milliseconds. */
  private static final long WORKER_LIST_MILLIS = 300;

  /** Time between two looks at the instances that can call the advice service. */
  private static final long HELPERS_MILLIS = 20;

  private final long epoch;
  private final Coordinator coordinator;
  private final OrderSender sender;
  private final JournalWriter journal;
  private final HelperPool helpers;
  private final CellDirectory directory;
  private final ScheduledExecutorService loop;
  private final Supplier<ClockReading> clock;
  private final CellMetrics metrics;
  private final DecisionLog log;
  private final Runnable deposed;
  private final Map<String, List<CompletableFuture<CellReply>>> submissions = new HashMap<>();
  private final Map<String, List<CompletableFuture<CellReply>>> cancellations = new HashMap<>();
  private ScheduledFuture<?> rounds;
  private boolean running;
  private boolean roundQueued;
  private OptionalLong nextWorkerListMillis = OptionalLong.empty();
  private OptionalLong nextHelpersMillis = OptionalLong.empty();
  private boolean workerListOpen;

  /**
   * Creates the service of an epoch that this instance has claimed.
   *
   * @param deposed called once when another instance has taken over
   */
  public CoordinatorService(
      long epoch,
      CoordinatorSettings settings,
      CellStore store,
      WorkerClient orders,
      HelperPool helpers,
      CellDirectory directory,
      ScheduledExecutorService loop,
      Supplier<ClockReading> clock,
      CellMetrics metrics,
      DecisionLog log,
      Runnable deposed) {
    this.epoch = epoch;
    this.coordinator = new Coordinator(settings);
    this.journal = new JournalWriter(epoch, store, loop, clock, metrics, this::replaced);
    this.sender =
        new OrderSender(
            epoch,
            coordinator,
            new RelayedOrders(
                orders,
                helpers,
                coordinator::zoneOf,
                coordinator::workerCount,
                loop,
                () -> clock.get().monotonicMillis(),
                metrics),
            helpers,
            clock,
            metrics,
            log,
            this::queueRound,
            this::replaced,
            this::broken);
    this.helpers = helpers;
    this.directory = directory;
    this.loop = loop;
    this.clock = clock;
    this.metrics = metrics;
    this.log = log;
    this.deposed = deposed;
  }

  /** Starts with the stored records and the present configuration. */
  public void start(List<RecordWrite> records, CellDirectory.PublishedConfig published) {
    ClockReading now = clock.get();
    List<String> unreadable = coordinator.restore(records, now);
    log.decision(
        "restore",
        "epoch-" + epoch,
        "restored",
        "records=" + records.size() + " unreadable=" + unreadable);
    coordinator.configure(published.config(), published.zonesOut());
    coordinator.roleConfirmed(journal.lastStoredAtMillis());
    running = true;
    rounds = loop.scheduleWithFixedDelay(this::round, 0, ROUND_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Stops at once; open requests are answered as unknown, so that they are repeated elsewhere. */
  public void stop() {
    if (!running) {
      return;
    }
    running = false;
    rounds.cancel(false);
    journal.stop();
    CellReply reply = CellReply.of(CellOutcome.UNKNOWN, "the coordinator has changed");
    failAll(submissions, reply);
    failAll(cancellations, reply);
  }

  private static void failAll(
      Map<String, List<CompletableFuture<CellReply>>> waiting, CellReply reply) {
    List<CompletableFuture<CellReply>> replies = new ArrayList<>();
    waiting.values().forEach(replies::addAll);
    waiting.clear();
    replies.forEach(future -> future.complete(reply));
  }

  /** Returns whether the store takes batches, the last one within {@code millis}. */
  boolean storing(long millis) {
    return running && journal.sound(millis);
  }

  /** Returns the epoch. */
  public long epoch() {
    return epoch;
  }

  /** Returns whether the last batch was stored recently, so that this is surely the coordinator. */
  public boolean sound() {
    return running && journal.storedAgeMillis() <= SOUND_MILLIS;
  }

  /** Returns whether a batch is stored at the moment or waits for it. */
  public boolean storing() {
    return journal.open() || !submissions.isEmpty() || !cancellations.isEmpty();
  }

  /** Takes what operators have published. */
  public void published(CellDirectory.PublishedConfig published) {
    coordinator.configure(published.config(), published.zonesOut());
    queueRound();
  }

  /** Takes a submission; the reply comes once the job is stored. */
  public CompletableFuture<CellReply> submit(
      String jobId, Queue queue, Submitter submitter, JobSpec spec) {
    if (!sound()) {
      return CompletableFuture.completedFuture(STORE_SILENT);
    }
    AdmissionDecision decision = coordinator.submit(jobId, queue, submitter, spec, clock.get());
    return switch (decision) {
      case AdmissionDecision.AlreadyStored() ->
          CompletableFuture.completedFuture(CellReply.done("known"));
      case AdmissionDecision.Refused refused -> {
        log.refused(jobId, queue.name(), submitter.team(), refused);
        yield CompletableFuture.completedFuture(
            new CellReply(CellOutcome.REFUSED, refused.reason(), refused.retryAfterMillis()));
      }
      case AdmissionDecision.Storing() -> await(submissions, jobId);
    };
  }

  /** Takes a cancellation; the reply comes once it is stored. */
  public CompletableFuture<CellReply> cancel(String jobId, String queue, String team) {
    Optional<CellReply> absent = absence(jobId, queue, team);
    if (absent.isPresent()) {
      return CompletableFuture.completedFuture(absent.get());
    }
    coordinator.cancel(jobId, clock.get());
    return await(cancellations, jobId);
  }

  private CompletableFuture<CellReply> await(
      Map<String, List<CompletableFuture<CellReply>>> waiting, String jobId) {
    CompletableFuture<CellReply> reply = new CompletableFuture<>();
    waiting.computeIfAbsent(jobId, id -> new ArrayList<>()).add(reply);
    queueRound();
    return reply;
  }

  /** Returns the stored state of a job. */
  public CellReply phase(String jobId, String queue, String team) {
    return absence(jobId, queue, team)
        .orElseGet(() -> CellReply.done(coordinator.job(jobId).orElseThrow().phase().name()));
  }

  private Optional<CellReply> absence(String jobId, String queue, String team) {
    Optional<JobView> view = coordinator.job(jobId);
    boolean present =
        view.isPresent() && view.get().queue().equals(queue) && view.get().team().equals(team);
    if (present) {
      return Optional.empty();
    }
    if (!sound()) {
      return Optional.of(STORE_SILENT);
    }
    return Optional.of(CellReply.of(CellOutcome.NO_SUCH_JOB, "no such job in this queue"));
  }

  /** Returns the number of jobs of a queue that have not started. */
  public CellReply pendingCount(String queue) {
    if (!sound()) {
      return STORE_SILENT;
    }
    return CellReply.done(Integer.toString(coordinator.pendingCount(queue)));
  }

  private void queueRound() {
    if (running && !roundQueued) {
      roundQueued = true;
      loop.execute(this::round);
    }
  }

  private void round() {
    roundQueued = false;
    if (!running) {
      return;
    }
    try {
      ClockReading now = clock.get();
      if (!ElapsedTime.isFuture(nextHelpersMillis, now.monotonicMillis())) {
        nextHelpersMillis = OptionalLong.of(now.monotonicMillis() + HELPERS_MILLIS);
        coordinator.adviceCallersChanged(helpers.ids(), now);
      }
      coordinator.advance(now);
      coordinator.takeActions().forEach(this::carryOut);
      store(now);
      readWorkers(now);
    } catch (RuntimeException e) {
      broken(e);
    }
  }

  /** Ends this coordinator after a fault of its own; the next one begins from the store. */
  private void broken(Throwable failure) {
    LOGGER.error("the coordinator of epoch {} has failed and ends", epoch, failure);
    replaced();
  }

  private void readWorkers(ClockReading now) {
    if (workerListOpen || ElapsedTime.isFuture(nextWorkerListMillis, now.monotonicMillis())) {
      return;
    }
    workerListOpen = true;
    directory
        .listWorkers()
        .whenComplete(
            (workers, failure) -> {
              ClockReading later = clock.get();
              workerListOpen = false;
              nextWorkerListMillis = OptionalLong.of(later.monotonicMillis() + WORKER_LIST_MILLIS);
              if (failure == null && running) {
                coordinator.workersListed(workers, later);
                queueRound();
              }
            })
        .exceptionally(
            failure -> {
              // A list that cannot be read is read again; the present one stays in force.
              LOGGER.debug("the list of workers cannot be read", failure);
              return null;
            });
  }

  private void store(ClockReading now) {
    if (!journal.free()) {
      return;
    }
    Optional<Batch> batch = coordinator.takeBatch();
    List<RecordWrite> writes = batch.map(Batch::writes).orElse(List.of());
    Runnable whenStored = batch.isPresent() ? this::batchStored : this::heartbeatStored;
    if (!writes.isEmpty()) {
      journal.write(writes, whenStored);
    } else if (journal.heartbeatDue()) {
      journal.heartbeat(whenStored);
    } else if (batch.isPresent()) {
      stored(now);
    }
  }

  private void heartbeatStored() {
    coordinator.roleConfirmed(journal.lastStoredAtMillis());
    queueRound();
  }

  private void batchStored() {
    if (!sound()) {
      // The answer was read long after the append, for example after a pause of this process, and
      // another instance may have claimed the journal since. The next append tells.
      journal.heartbeat(this::batchStored);
      return;
    }
    stored(clock.get());
    queueRound();
  }

  private void replaced() {
    if (running) {
      stop();
      deposed.run();
    }
  }

  private void stored(ClockReading now) {
    coordinator.roleConfirmed(journal.lastStoredAtMillis());
    coordinator.batchStored(now);
    coordinator.takeActions().forEach(this::carryOut);
  }

  private void carryOut(Action action) {
    switch (action) {
      case Action.StartTask start -> sender.start(start);
      case Action.StopTask stop -> sender.stop(stop);
      case Action.Renew renew -> sender.renew(renew);
      case Action.RequestAdvice ask -> sender.ask(ask);
      case Action.ReportJobEnd end -> log.ended(end, epoch);
      case Action.ReportWaitingStep(String step, String inputs) ->
          log.decision("waiting", step, "not-placed", inputs);
      case Action.ConfirmSubmission(String jobId) -> confirm(submissions, jobId, "accept");
      case Action.ConfirmCancellation(String jobId) -> confirm(cancellations, jobId, "cancel");
    }
  }

  private void confirm(
      Map<String, List<CompletableFuture<CellReply>>> waiting, String jobId, String category) {
    List<CompletableFuture<CellReply>> replies = waiting.remove(jobId);
    if (replies != null) {
      log.decision(category, jobId, "stored", "epoch=" + epoch + " sequence=" + journal.sequence());
      replies.forEach(reply -> reply.complete(CellReply.done("stored")));
    }
  }

  /** Sets the gauges of the state. */
  public void updateGauges() {
    coordinator.counts().forEach(metrics::state);
  }
}
