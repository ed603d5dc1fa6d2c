package org.cicadaford.entry.zone;

import java.util.List;
import java.util.Locale;
import java.util.UUID;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.decision.ConfigState;
import org.cicadaford.decision.LeaseHandover;
import org.cicadaford.decision.LifeCycleSettings;
import org.cicadaford.decision.ListedWorker;
import org.cicadaford.decision.OwnerDecision;
import org.cicadaford.decision.OwnerInputs;
import org.cicadaford.decision.ZoneApplyResult;
import org.cicadaford.decision.ZoneOwnerPlanner;
import org.cicadaford.decision.ZoneState;
import org.cicadaford.entry.config.ConfigStore;
import org.cicadaford.entry.config.ConfigView;
import org.cicadaford.entry.membership.MembershipPoller;
import org.cicadaford.entry.membership.MembershipPoller.MemberList;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.entry.metrics.ServiceLevelCounter;
import org.cicadaford.entry.request.RequestLedgerService;
import org.cicadaford.entry.request.RequestLedgerService.JobRequests;
import org.cicadaford.entry.stream.Backoff;
import org.cicadaford.entry.stream.LogWriter;
import org.cicadaford.entry.stream.StreamPosition;
import org.cicadaford.entry.worker.WorkerCommandSender;
import org.cicadaford.model.TaskReport;
import org.cicadaford.model.WorkerCommand;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneRecord;
import org.cicadaford.model.ZoneRecord.OwnerBatch;
import org.cicadaford.model.ZoneRecord.ZoneSnapshotChunk;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.Member.Role;
import org.cicadaford.platform.Member.State;

/** Follows the zone's state, and acts as its owner while it holds ownership. Not thread-safe. */
final class ZoneOwner {

  private static final Logger LOG = LogManager.getLogger(ZoneOwner.class);

  /** Time for which an instance makes no claim after an internal fault, in milliseconds. */
  private static final long FAILURE_PAUSE_MILLIS = 30_000;

  private final ZoneOwnerSettings settings;
  private final LogWriter writer;
  private final ConfigStore config;
  private final RequestLedgerService requests;
  private final MembershipPoller membership;
  private final WorkerCommandSender workerCommands;
  private final WorkerCommandSender.AnswerListener answerListener;
  private final EntryMetrics metrics;
  private final OwnershipClaimer claimer;
  private final SnapshotWriter snapshots;
  private final AllotmentWriter allotments;
  private final Backoff backoff;
  private final PendingAppend batch = new PendingAppend();
  private ZoneState state = new ZoneState();
  private StreamPosition lastEndPosition = new StreamPosition(0, false, 0);
  private ZoneOwnerPlanner ownerLogic;
  private long ownEpoch = ConfigState.NO_OFFSET;
  private long batchStartedAtMillis;
  private long nextBatchAtMillis;
  private long pausedUntilMillis;
  private LeaseHandover receivedHandOver;
  private LeaseHandover lastHandOver;

  ZoneOwner(
      ZoneOwnerSettings settings,
      LogWriter writer,
      ConfigStore config,
      RequestLedgerService requests,
      MembershipPoller membership,
      WorkerCommandSender workerCommands,
      WorkerCommandSender.AnswerListener answerListener,
      RandomGenerator random,
      EntryMetrics metrics) {
    this.settings = settings;
    this.writer = writer;
    this.config = config;
    this.requests = requests;
    this.membership = membership;
    this.workerCommands = workerCommands;
    this.answerListener = answerListener;
    this.metrics = metrics;
    this.claimer = new OwnershipClaimer(settings, writer);
    this.snapshots = new SnapshotWriter(settings, writer, metrics);
    this.allotments = new AllotmentWriter(settings.zone(), writer, metrics);
    this.backoff = new Backoff(settings.minBatchIntervalMillis(), 2_000, random);
  }

  void onEvent(ZoneEvent event, long nowMillis) {
    switch (event) {
      case ZoneEvent.RecordRead read -> onRecord(read, nowMillis);
      case ZoneEvent.PageRead page -> onPage(page.position());
      case ZoneEvent.RecordsExpired gap -> onRecordsExpired();
      case ZoneEvent.WorkerAnswered answered -> onAnswer(answered, nowMillis);
      case ZoneEvent.WorkerUnreachable unreachable -> {
        if (ownerLogic != null) {
          ownerLogic.onUnreachable(unreachable.workerId(), nowMillis);
        }
      }
      case ZoneEvent.Query query -> query.reader().accept(state);
      case ZoneEvent.PeerHeartbeat heartbeat ->
          claimer.onPeerHeartbeat(heartbeat.epoch(), heartbeat.receivedAtMillis());
      case ZoneEvent.PeerHandOver handOver -> {
        receivedHandOver = handOver.handOver();
        claimer.onHandOver(handOver.handOver(), handOver.receivedAtMillis());
        if (ownerLogic != null) {
          ownerLogic.onHandOver(receivedHandOver);
        }
      }
      case ZoneEvent.Stop stop -> claimer.stop();
    }
  }

  private void onRecord(ZoneEvent.RecordRead read, long nowMillis) {
    ZoneRecord record = read.record();
    ZoneApplyResult verdict = state.apply(read.offset(), record);
    boolean isChunk = record instanceof ZoneSnapshotChunk;
    if (verdict instanceof ZoneApplyResult.Applied && !isChunk) {
      claimer.onOwnerRecord(read.readAtMillis());
    }
    if (batch.onRecordRead(record.recordId())) {
      backoff.reset();
      countChanges((OwnerBatch) record, verdict);
    }
  }

  private void countChanges(OwnerBatch read, ZoneApplyResult verdict) {
    if (!(verdict instanceof ZoneApplyResult.Applied applied)) {
      metrics.countFault("batch-rejected");
      return;
    }
    for (ZoneChange change : read.changes()) {
      metrics.countDecision(kindOf(change));
    }
    for (ZoneChange change : applied.rejectedChanges()) {
      metrics.countInvalidChange(kindOf(change));
    }
    ServiceLevelCounter.count(read.changes(), applied.rejectedChanges(), state, metrics);
  }

  private static String kindOf(ZoneChange change) {
    return change
        .getClass()
        .getSimpleName()
        .replaceAll("(?<=[a-z])(?=[A-Z])", "-")
        .toLowerCase(Locale.ROOT);
  }

  private void onPage(StreamPosition position) {
    if (position.atEnd()) {
      lastEndPosition = position;
      claimer.onEndRead(position.requestedAtMillis());
    }
    if (state.isComplete()) {
      requests.forgetJobRequestsBefore(state.requestsOffset());
    }
  }

  private void onRecordsExpired() {
    if (ownerLogic != null) {
      stopActing("stops acting as owner because records of the zone expired before it read them");
    }
    claimer.forgetClaim();
    state = new ZoneState();
    lastEndPosition = new StreamPosition(0, false, 0);
  }

  private void startActing(long nowMillis) {
    ownEpoch = state.epoch();
    ownerLogic =
        new ZoneOwnerPlanner(
            settings.zone(),
            settings.ownerSettings(),
            LifeCycleSettings.DEFAULT,
            ownEpoch,
            nowMillis);
    if (receivedHandOver != null) {
      ownerLogic.onHandOver(receivedHandOver);
    }
    batch.clear();
    snapshots.reset(nowMillis);
    nextBatchAtMillis = 0;
    batchStartedAtMillis = 0;
    metrics.countTakeover();
    metrics.setOwner(true);
    LOG.info(
        "instance {} owns zone {} from epoch {}", settings.instanceId(), settings.zone(), ownEpoch);
  }

  private void stopActing(String reason) {
    if (ownerLogic == null) {
      return;
    }
    ownerLogic = null;
    ownEpoch = ConfigState.NO_OFFSET;
    metrics.setOwner(false);
    LOG.info("instance {} {}", settings.instanceId(), reason);
  }

  /** Gives up the zone after an internal fault, and pauses claims. */
  void onFailure(RuntimeException failure, long nowMillis) {
    LOG.error("zone owner failed", failure);
    stopActing("gives up the zone after an internal fault");
    claimer.forgetClaim();
    pausedUntilMillis = nowMillis + FAILURE_PAUSE_MILLIS;
  }

  private void onAnswer(ZoneEvent.WorkerAnswered answered, long nowMillis) {
    if (ownerLogic == null) {
      return;
    }
    ownerLogic.onAnswer(answered.order(), answered.answer(), answered.sentAtMillis(), nowMillis);
    if (answered.order().command() instanceof WorkerCommand.Start) {
      answered.answer().reports().forEach(this::observeWaitingTime);
    }
  }

  private void observeWaitingTime(TaskReport report) {
    boolean firstStart = report.lease().attempt() == 1 && report.startedAtMillis() > 0;
    if (firstStart) {
      state
          .job(report.lease().taskId().jobId())
          .ifPresent(
              job ->
                  metrics.observeTaskWaiting(
                      job.description().team(),
                      job.description().urgency().name().toLowerCase(Locale.ROOT),
                      report.startedAtMillis() - job.submittedAtMillis()));
    }
  }

  /** Runs the due work: claims the zone, or acts as its owner. */
  void runDueWork(long nowMillis) {
    MemberList members = membership.current();
    workerCommands.updateAddresses(members.inZone(settings.zone(), Role.WORKER));
    if (batch.checkOutcome(lastEndPosition, nowMillis) == PendingAppend.Outcome.GIVEN_UP) {
      metrics.countRetry("owner-batch");
      nextBatchAtMillis = nowMillis + backoff.nextDelayMillis();
    }
    if (nowMillis < pausedUntilMillis) {
      return;
    }
    List<Member> entries = members.inZone(settings.zone(), Role.ENTRY);
    List<Member> workers = members.inZone(settings.zone(), Role.WORKER);
    switch (claimer.decide(state, ownEpoch, lastEndPosition, entries, nowMillis)) {
      case BEGIN -> startActing(nowMillis);
      case OWN -> actAsOwner(newInputs(workers), nowMillis);
      case STEP_DOWN -> stepDown(workers, "was replaced by " + state.ownerInstanceId(), nowMillis);
      case HAND_OVER -> stepDown(workers, "hands over the zone", nowMillis);
      default -> {}
    }
  }

  private void stepDown(List<Member> workers, String reason, long nowMillis) {
    lastHandOver = ownerLogic.handOver(newInputs(workers), nowMillis);
    stopActing(reason);
  }

  private OwnerInputs newInputs(List<Member> workers) {
    ConfigView view = config.view();
    JobRequests newRequests =
        requests.jobRequests(
            settings.zone(), state.requestsOffset(), settings.maxRequestsPerBatch());
    return new OwnerInputs(
        state,
        view.state(),
        view.confirmedAtMillis(),
        state.lastBatchAtMillis(),
        workers.stream().map(ZoneOwner::toListed).toList(),
        newRequests.records(),
        newRequests.nextOffset());
  }

  private void actAsOwner(OwnerInputs inputs, long nowMillis) {
    OwnerDecision decision = ownerLogic.decide(inputs, nowMillis);
    decision.commands().forEach(order -> workerCommands.send(order, answerListener));
    ConfigView view = new ConfigView(inputs.config(), inputs.configConfirmedAtMillis());
    allotments.write(decision.allotmentChanges(), ownEpoch);
    snapshots.writeNextChunk(nowMillis);
    if (batch.isWaiting() || snapshots.isWriting()) {
      return;
    }
    if (snapshots.isDue(nowMillis) && state.isComplete()) {
      snapshots.begin(state);
    } else {
      writeBatch(decision, view.version(), nowMillis);
    }
  }

  private static ListedWorker toListed(Member member) {
    return new ListedWorker(
        member.instanceId(), member.rack(), member.capacity(), member.state() == State.LEAVING);
  }

  private void writeBatch(OwnerDecision decision, long configVersion, long nowMillis) {
    long sinceLastMillis = nowMillis - batchStartedAtMillis;
    boolean heartbeatDue = sinceLastMillis >= settings.heartbeatMillis();
    boolean changesDue =
        !decision.changes().isEmpty() && sinceLastMillis >= settings.minBatchIntervalMillis();
    if (nowMillis < nextBatchAtMillis || !heartbeatDue && !changesDue) {
      return;
    }
    batchStartedAtMillis = nowMillis;
    OwnerBatch record =
        new OwnerBatch(
            "batch-" + UUID.randomUUID(),
            ownEpoch,
            state.sequence() + 1,
            nowMillis,
            configVersion,
            decision.requestsOffset(),
            BatchLimiter.limit(decision.changes()));
    batch.begin(record.recordId(), writer.append(settings.stream(), record));
  }

  ZoneSummary summary() {
    return new ZoneSummary(
        settings.zone(),
        state.ownerInstanceId(),
        ownerLogic != null,
        state.epoch(),
        state.appliedOffset(),
        state.requestsOffset(),
        lastEndPosition.atEnd() ? lastEndPosition.requestedAtMillis() : 0,
        state.workers().size(),
        state.jobs().size(),
        state.waitingJobs().size(),
        state.committedTaskCount());
  }

  /**
   * Returns the hand-over to send to peers after this instance stopped acting as owner, or null.
   */
  LeaseHandover lastHandOver() {
    return lastHandOver;
  }

  /** Returns whether this instance neither owns the zone nor has an append pending. */
  boolean isIdle() {
    return ownerLogic == null && !batch.isWaiting() && !snapshots.isWriting();
  }
}
