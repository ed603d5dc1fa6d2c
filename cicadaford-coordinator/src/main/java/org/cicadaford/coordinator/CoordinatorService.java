package org.cicadaford.coordinator;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.Batch;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.Coordinator;
import org.cicadaford.cell.CoordinatorSettings;
import org.cicadaford.cell.ElapsedTime;
import org.cicadaford.cell.ListedWorker;
import org.cicadaford.cell.RecordWrite;

/** Runs the {@link Coordinator} of one epoch: stores its batches and executes its actions. */
public final class CoordinatorService {

  private static final Logger LOGGER = LogManager.getLogger(CoordinatorService.class);

  /** Interval between scheduling rounds when no event triggers one, in milliseconds. */
  private static final long ROUND_INTERVAL_MILLIS = 25;

  /** Time until the next round while a worker that may have restarted is contacted. */
  private static final long SHORT_ROUND_MILLIS = 5;

  /** Age of the last stored batch up to which new work is accepted, in milliseconds. */
  private static final long MAX_APPEND_AGE_MILLIS = 1_000;

  /** Maximum length of the keys of unreadable records in a log line. */
  private static final int MAX_LOGGED_KEYS_LENGTH = 400;

  /** Maximum length of the input and the exception of an internal fault in a log line. */
  private static final int MAX_LOGGED_FAULT_LENGTH = 600;

  /** Time for which an internal fault is stored before the role ends, in milliseconds. */
  private static final long MAX_FAULT_STORE_MILLIS = 500;

  /** Interval between updates of the reachable helpers, in milliseconds. */
  private static final long HELPERS_INTERVAL_MILLIS = 20;

  private final long epoch;
  private final Coordinator coordinator;
  private final OrderDispatcher dispatcher;
  private final JournalWriter journal;
  private final HelperPool helpers;
  private final WorkerListFollower workerList;
  private final ScheduledExecutorService loop;
  private final Supplier<ClockReading> clock;
  private final CellMetrics metrics;
  private final DecisionLog log;
  private final Runnable onDeposed;
  private final JobRequestExecutor requests;
  private ScheduledFuture<?> rounds;
  private boolean running;
  private boolean storingFault;
  private boolean roundScheduled;
  private boolean shortRoundScheduled;
  private OptionalLong nextHelpersMillis = OptionalLong.empty();

  /**
   * Creates the service of an epoch that this instance has claimed.
   *
   * @param leadership this instance as the coordinator of the epoch
   * @param claimedAt time at which the claim was sent
   * @param onDeposed runs once when another instance has taken over
   */
  public CoordinatorService(
      Leadership leadership,
      ClockReading claimedAt,
      CoordinatorSettings settings,
      CellStore store,
      WorkerClient workers,
      HelperPool helpers,
      CellDirectory directory,
      ScheduledExecutorService loop,
      Supplier<ClockReading> clock,
      CellMetrics metrics,
      DecisionLog log,
      Runnable onDeposed) {
    this.epoch = leadership.epoch();
    this.coordinator = new Coordinator(settings);
    this.journal =
        new JournalWriter(
            leadership,
            claimedAt,
            store,
            loop,
            clock,
            metrics,
            this::handleRejectedRecords,
            this::stepDown,
            this::handleFault);
    this.dispatcher =
        new OrderDispatcher(
            epoch,
            coordinator,
            new RelayingWorkerClient(
                workers,
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
            this::scheduleRound,
            this::stepDown,
            this::handleFault);
    this.requests =
        new JobRequestExecutor(
            epoch, coordinator, this::isRoleConfirmed, this::scheduleRound, loop, clock, log);
    this.helpers = helpers;
    this.workerList = new WorkerListFollower(directory, clock, metrics, this::applyWorkerList);
    this.loop = loop;
    this.clock = clock;
    this.metrics = metrics;
    this.log = log;
    this.onDeposed = onDeposed;
  }

  /** Starts with the stored records and the current configuration. */
  public void start(List<RecordWrite> records, CellDirectory.PublishedConfig published) {
    ClockReading now = clock.get();
    List<String> unreadable = coordinator.restore(records, now);
    log.write(
        "restore",
        "epoch-" + epoch,
        "restored",
        "records="
            + records.size()
            + " unreadable="
            + unreadable.size()
            + " keys="
            + LogText.bounded(unreadable.toString(), MAX_LOGGED_KEYS_LENGTH));
    unreadable.forEach(key -> metrics.recordRejectedEntry("stored-record"));
    coordinator.configure(published.config(), published.zonesOut());
    coordinator.roleConfirmed(journal.lastStoredAt());
    running = true;
    rounds =
        loop.scheduleWithFixedDelay(
            this::runRound, 0, ROUND_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Stops immediately. Open requests are answered as unknown, so that they are retried elsewhere.
   */
  public void stop() {
    if (!running && !storingFault) {
      return;
    }
    halt();
    storingFault = false;
    journal.stop();
  }

  /** Stops to decide and to answer. */
  private void halt() {
    running = false;
    rounds.cancel(false);
    requests.completeAll(CellReply.of(CellOutcome.UNKNOWN, "the coordinator has changed"));
  }

  /** Returns whether the store accepts appends and stored the last one within the given time. */
  boolean isStoreHealthy(long maxAppendAgeMillis) {
    return running && journal.isHealthy(maxAppendAgeMillis);
  }

  /** Returns the epoch. */
  public long epoch() {
    return epoch;
  }

  /** Returns whether the last append was stored recently enough to rule out another coordinator. */
  public boolean isRoleConfirmed() {
    return running && journal.lastStoredAgeMillis() <= MAX_APPEND_AGE_MILLIS;
  }

  /** Returns whether an append is pending or a request waits for one. */
  public boolean isStoring() {
    return journal.isAppendPending() || requests.isWaiting();
  }

  /** Applies a published configuration. */
  public void updateConfig(CellDirectory.PublishedConfig published) {
    coordinator.configure(published.config(), published.zonesOut());
    scheduleRound();
  }

  /** Returns the executor of callers' requests. */
  JobRequestExecutor requests() {
    return requests;
  }

  private void scheduleRound() {
    if (running && !roundScheduled) {
      roundScheduled = true;
      loop.execute(this::runRound);
    }
  }

  private void runRound() {
    roundScheduled = false;
    if (!running) {
      return;
    }
    try {
      ClockReading now = clock.get();
      if (!ElapsedTime.isFuture(nextHelpersMillis, now.monotonicMillis())) {
        nextHelpersMillis = OptionalLong.of(now.monotonicMillis() + HELPERS_INTERVAL_MILLIS);
        coordinator.adviceCallersChanged(helpers.reachableInstanceIds(), now);
      }
      coordinator.advance(now);
      coordinator.takeActions().forEach(this::execute);
      storeNextBatch();
      workerList.readIfDue(now);
      if (coordinator.needsShortRounds() && !shortRoundScheduled) {
        shortRoundScheduled = true;
        loop.schedule(this::runShortRound, SHORT_ROUND_MILLIS, TimeUnit.MILLISECONDS);
      }
    } catch (RuntimeException e) {
      handleFault(e);
    }
  }

  private void runShortRound() {
    shortRoundScheduled = false;
    scheduleRound();
  }

  /**
   * Ends this coordinator after an internal fault; its successor restores the state from the store.
   * The fault is stored before, unless that takes too long, so that the successors do not all fail
   * on the same run. Nothing else is decided or acknowledged with the state as it is now.
   */
  private void handleFault(Throwable failure) {
    if (!running) {
      LOGGER.error("internal fault of a stopped coordinator of epoch {}", epoch, failure);
      return;
    }
    String input = coordinator.lastInput();
    LOGGER.error(
        "internal fault, stopping the coordinator of epoch {} after {}",
        epoch,
        LogText.bounded(input, MAX_LOGGED_FAULT_LENGTH),
        failure);
    metrics.recordElectionEvent("internal-fault");
    log.write(
        "fault",
        "epoch-" + epoch,
        "stepped-down",
        LogText.bounded(input + " exception=" + failure, MAX_LOGGED_FAULT_LENGTH));
    Optional<RecordWrite> record = coordinator.faultRecord();
    if (record.isEmpty()) {
      stepDown();
      return;
    }
    halt();
    storingFault = true;
    loop.schedule(this::stepDown, MAX_FAULT_STORE_MILLIS, TimeUnit.MILLISECONDS);
    journal.appendLast(record.get(), this::stepDown);
  }

  private void applyWorkerList(
      List<ListedWorker> workers, ClockReading requestedAt, ClockReading now) {
    if (running) {
      coordinator.workersListed(workers, requestedAt, now);
      scheduleRound();
    }
  }

  private void storeNextBatch() {
    if (!journal.canAppend()) {
      return;
    }
    Optional<Batch> batch = coordinator.takeBatch();
    List<RecordWrite> writes = batch.map(Batch::writes).orElse(List.of());
    Runnable onStored = batch.isPresent() ? this::onBatchStored : this::onHeartbeatStored;
    if (!writes.isEmpty()) {
      journal.append(writes, onStored);
    } else if (journal.isHeartbeatDue()) {
      journal.appendHeartbeat(onStored);
    } else if (batch.isPresent()) {
      // The batch acknowledges ends of runs, which only the current coordinator may do.
      onBatchStored();
    }
  }

  private void onHeartbeatStored() {
    coordinator.roleConfirmed(journal.lastStoredAt());
    scheduleRound();
  }

  private void onBatchStored() {
    if (!isRoleConfirmed()) {
      // The outcome arrived long after the append, for example after this process was paused, and
      // another instance may have claimed the journal since. The next append shows whether it has.
      journal.appendHeartbeat(this::onBatchStored);
      return;
    }
    completeBatch(clock.get());
    scheduleRound();
  }

  private void handleRejectedRecords(List<RecordWrite> records) {
    if (!running) {
      return;
    }
    coordinator.recordsRefused(records, clock.get());
  }

  private void stepDown() {
    if (running || storingFault) {
      stop();
      onDeposed.run();
    }
  }

  private void completeBatch(ClockReading now) {
    coordinator.roleConfirmed(journal.lastStoredAt());
    coordinator.batchStored(now);
    coordinator.takeActions().forEach(this::execute);
  }

  private void execute(Action action) {
    switch (action) {
      case Action.StartTask start -> dispatcher.sendStart(start);
      case Action.StopTask stop -> dispatcher.sendStop(stop);
      case Action.Renew renew -> dispatcher.sendRenewal(renew);
      case Action.RequestAdvice ask -> dispatcher.requestAdvice(ask);
      case Action.ReportJobEnd end -> {
        requests.confirmEnd(end.jobId(), end.phase());
        log.writeJobEnd(end, epoch);
      }
      case Action.ReportLostRun lost -> {
        metrics.recordLostRun(lost.cause(), lost.lostCoreMillis());
        log.writeLostRun(lost);
      }
      case Action.ReportWaitingStep(String step, String inputs) ->
          log.write("waiting", step, "not-placed", inputs);
      case Action.ReportDecision(String category, String id, String outcome, String inputs) -> {
        metrics.recordWorkerEvent(category, outcome);
        log.write(category, id, outcome, inputs);
      }
      case Action.RejectRequests reject -> requests.reject(reject);
      case Action.RejectCancellation reject -> requests.reject(reject);
      case Action.ConfirmSubmission(String jobId) ->
          requests.confirmSubmission(jobId, journal.sequence());
      case Action.ConfirmCancellation cancellation ->
          requests.confirmCancellation(cancellation, journal.sequence());
    }
  }

  /** Updates the gauges of the coordinator's state. */
  public void updateGauges() {
    coordinator.counts().forEach(metrics::setStateGauge);
    coordinator.teamsBeyondShare().forEach(metrics::setBeyondShareGauge);
  }
}
