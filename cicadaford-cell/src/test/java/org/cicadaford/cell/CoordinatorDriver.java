package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cicadaford.model.Resources;

/**
 * Drives a {@link Coordinator} of one worker step by step; the test answers its orders.
 *
 * <p>Batches are stored at once, unless a test suspends that. In contrast to {@link SimulatedCell},
 * answers may arrive in any order within a millisecond.
 */
final class CoordinatorDriver {

  static final String WORKER = "w0";
  static final long FIRST_INCARNATION = 100;
  static final String ADDRESS = "w0:1";

  /** A renewal in transit. */
  record SentRenewal(Action.Renew order, long sentAtMillis, long requestNumber) {}

  private static final long LIST_INTERVAL_MILLIS = 300;

  private static final Resources CAPACITY = new Resources(16_000, 32_000, 0);

  private final CellConfig config = SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE);
  private final Coordinator coordinator =
      new Coordinator(CoordinatorSettings.forPlatform(6_000, 600_000));
  private final List<Action> actions = new ArrayList<>();

  /** Whether the worker list can be read. */
  boolean listing = true;

  private long incarnation = 100;
  private String address = ADDRESS;
  private long nowMillis = 1_000;

  /** Whether batches are stored. */
  boolean storing = true;

  CoordinatorDriver() {
    this(List.of());
  }

  /** Drives a coordinator that takes over with stored records. */
  CoordinatorDriver(List<RecordWrite> records) {
    coordinator.restore(records, now());
    coordinator.configure(config, Set.of());
    list(FIRST_INCARNATION);
    advance(0);
    answer(sent(next(Action.Renew.class).orElseThrow()), List.of());
  }

  ClockReading now() {
    return new ClockReading(nowMillis, 1_700_000_000_000L + nowMillis);
  }

  private void list() {
    list(now());
  }

  /** Lists the worker with an incarnation from now on. */
  void list(long newIncarnation) {
    list(newIncarnation, ADDRESS);
  }

  /** Lists the worker with an incarnation and an address from now on. */
  void list(long newIncarnation, String newAddress) {
    incarnation = newIncarnation;
    address = newAddress;
    list();
  }

  /** Lists the worker; the request was sent at a time. */
  void list(ClockReading requestedAt) {
    ListedWorker listed =
        new ListedWorker(
            WORKER, incarnation, "svc", address, "zone", false, 0, CAPACITY, Set.of("a"), "rack");
    coordinator.workersListed(List.of(listed), requestedAt, now());
  }

  /** Advances the time in steps of 5 ms. */
  void advance(long millis) {
    long endMillis = nowMillis + millis;
    round();
    while (nowMillis < endMillis) {
      nowMillis += 5;
      round();
    }
  }

  private void round() {
    if (listing && nowMillis % LIST_INTERVAL_MILLIS == 0) {
      list();
    }
    coordinator.roleConfirmed(now());
    coordinator.advance(now());
    if (storing && coordinator.takeBatch().isPresent()) {
      coordinator.batchStored(now());
    }
    actions.addAll(coordinator.takeActions());
  }

  private <T extends Action> Optional<T> next(Class<T> type) {
    Optional<T> found = actions.stream().filter(type::isInstance).map(type::cast).findFirst();
    found.ifPresent(actions::remove);
    return found;
  }

  /** Submits a job of one small task and lets it be placed. */
  void submit(String jobId) {
    submit(jobId, 1_000);
  }

  /** Submits a job of one task and lets it be placed. */
  void submit(String jobId, long millicores) {
    JobSpec spec = SimulatedJobs.job(jobId, SimulatedJobs.step(1, millicores, 5_000, false));
    Queue queue = config.queue("q").orElseThrow();
    coordinator.submit(jobId, queue, new Submitter("team", "zone"), spec, now());
    round();
    round();
  }

  /** Returns the tasks of which runs were given up for a reason, and forgets these reports. */
  List<String> takeReleased(ReleaseReason reason) {
    List<String> released = new ArrayList<>();
    actions.removeIf(
        action ->
            action instanceof Action.ReportDecision decision
                && decision.category().equals("release")
                && decision.outcome().equals(reason.name())
                && released.add(decision.id()));
    return released;
  }

  /** Returns the inputs of the decisions of a category that have been reported. */
  List<String> inputsOf(String category) {
    return actions.stream()
        .filter(Action.ReportDecision.class::isInstance)
        .map(Action.ReportDecision.class::cast)
        .filter(decision -> decision.category().equals(category))
        .map(Action.ReportDecision::inputs)
        .toList();
  }

  Action.StartTask nextStart() {
    return next(Action.StartTask.class).orElseThrow();
  }

  /**
   * Advances the time by a second at most, until a report is requested that the worker is to send
   * at once.
   */
  SentRenewal nextImmediateRenewal() {
    actions.removeIf(Action.Renew.class::isInstance);
    long endMillis = nowMillis + 1_000;
    while (nowMillis < endMillis) {
      advance(5);
      Optional<Action.Renew> renewal = next(Action.Renew.class);
      if (renewal.isPresent() && renewal.get().waitMillis() == 0) {
        return sent(renewal.get());
      }
    }
    throw new AssertionError("no immediate report was requested");
  }

  /** Advances the time by two seconds at most, until a renewal is sent. */
  SentRenewal nextRenewal() {
    long endMillis = nowMillis + 2_000;
    Optional<Action.Renew> renewal = next(Action.Renew.class);
    while (renewal.isEmpty() && nowMillis < endMillis) {
      advance(5);
      renewal = next(Action.Renew.class);
    }
    return sent(renewal.orElseThrow());
  }

  private SentRenewal sent(Action.Renew order) {
    return new SentRenewal(order, nowMillis, coordinator.lastEventNumber());
  }

  void answerStart(Action.StartTask start, StartOutcome outcome) {
    answerStart(start, outcome, nowMillis);
  }

  /** Answers a start with a clock of the worker. */
  void answerStart(Action.StartTask start, StartOutcome outcome, long clockMillis) {
    coordinator.startAnswered(WORKER, start.task(), start.run(), outcome, clockMillis, now());
  }

  void confirmStop(Action.StopTask stop) {
    coordinator.stopConfirmed(
        WORKER, stop.task(), stop.run(), coordinator.lastEventNumber(), now());
  }

  /** Answers a renewal with a complete report of these runs. */
  void answer(SentRenewal renewal, List<ReportedRun> running) {
    answer(renewal, renewal.order().incarnation(), running);
  }

  /** Answers a renewal with a complete report of an incarnation. */
  void answer(SentRenewal renewal, long incarnation, List<ReportedRun> running) {
    coordinator.reportReceived(
        new WorkerReport(
            WORKER, incarnation, nowMillis, renewal.sentAtMillis(), running, List.of(), true),
        renewal.requestNumber(),
        now());
  }

  /** Answers a renewal with a complete report of ends and no runs. */
  void answerEnds(SentRenewal renewal, ReportedEnd... ends) {
    coordinator.reportReceived(
        new WorkerReport(
            WORKER,
            renewal.order().incarnation(),
            nowMillis,
            renewal.sentAtMillis(),
            List.of(),
            List.of(ends),
            true),
        renewal.requestNumber(),
        now());
  }

  /** Lets a renewal fail without an answer. */
  void fail(SentRenewal renewal) {
    coordinator.renewalFailed(renewal.order(), false, renewal.requestNumber(), now());
  }

  /** Refuses a renewal in the name of another worker. */
  void refuse(SentRenewal renewal) {
    coordinator.renewalFailed(renewal.order(), true, renewal.requestNumber(), now());
  }

  /** Returns the offset of the fencing token of an order that is sent now. */
  int tokenOffset() {
    return coordinator.tokenOffset(WORKER);
  }

  /** Returns the renewals that are sent within a time. */
  List<Action.Renew> renewals(long millis) {
    advance(millis);
    return actions.stream()
        .filter(Action.Renew.class::isInstance)
        .map(Action.Renew.class::cast)
        .toList();
  }

  /** Returns the stops that have been ordered. */
  List<Action.StopTask> stops() {
    return actions.stream()
        .filter(Action.StopTask.class::isInstance)
        .map(Action.StopTask.class::cast)
        .toList();
  }

  /** Returns the starts that are ordered within a time. */
  List<Action.StartTask> starts(long millis) {
    advance(millis);
    return actions.stream()
        .filter(Action.StartTask.class::isInstance)
        .map(Action.StartTask.class::cast)
        .toList();
  }
}
