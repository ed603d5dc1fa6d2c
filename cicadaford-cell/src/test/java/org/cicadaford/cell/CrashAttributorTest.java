package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import org.cicadaford.cell.CrashAttributor.Evidence;
import org.cicadaford.model.Resources;

/** Tests which runs of a lost worker are suspected to have crashed it, and when one is given up. */
class CrashAttributorTest {

  private static final long LAST_ANSWER_MILLIS = 10_000;
  private static final long LOST_AT_MILLIS = 13_500;

  private final CellState state = new CellState(CoordinatorSettings.forPlatform(6_000, 600_000));
  private final PlacementReporter reporter = new PlacementReporter(state);
  private final CrashAttributor crashes =
      new CrashAttributor(state, new RunEndHandler(state, reporter), reporter);
  private int nextWorker;
  private int losses;

  private static ClockReading at(long millis) {
    return new ClockReading(millis, 1_700_000_000_000L + millis);
  }

  private Task task(String jobId) {
    return tasks(jobId, 1, false).getFirst();
  }

  private List<Task> tasks(String jobId, int count, boolean gang) {
    Queue queue = SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE).queue("q").orElseThrow();
    JobSpec spec = SimulatedJobs.job(jobId, SimulatedJobs.step(count, 1_000, 5_000, gang));
    Job job = new Job(new JobDefinition(jobId, queue, "team", "zone", 0, false, spec));
    state.jobs().put(jobId, job);
    return job.beginOccurrence(0).getFirst().tasks();
  }

  /** Returns a worker that answered last at a known time and stopped answering at another. */
  private Worker worker(boolean draining, long silentAtMillis) {
    Worker worker = new Worker("w" + nextWorker++, 100);
    Resources capacity = new Resources(64_000, 128_000, 0);
    worker.updateListing(
        new ListedWorker(
            worker.id(), 100, "svc", "w:1", "zone", draining, 0, capacity, Set.of(), "rack"),
        0);
    worker.startSurvival().signOfLife(LAST_ANSWER_MILLIS);
    worker.startSurvival().disconnected(silentAtMillis);
    state.workers().put(worker.id(), worker);
    return worker;
  }

  private Worker worker() {
    return worker(false, LAST_ANSWER_MILLIS + 20);
  }

  /** Starts a task on a worker, which confirms it at a time. */
  private Placement start(Task task, Worker worker, long confirmedAtMillis) {
    Placement placement = new Placement(task, task.lastRun() + 1, worker, 100, confirmedAtMillis);
    state.place(placement);
    placement.orderSent(state.events().next(), confirmedAtMillis);
    placement.markConfirmed(state.events().next(), confirmedAtMillis);
    return placement;
  }

  /** Takes over a run that an earlier coordinator has ordered. */
  private void restore(Task task, int run, Worker worker) {
    Placement placement = new Placement(task, run, worker, 100, LAST_ANSWER_MILLIS);
    placement.markRestored(state.events().next(), LAST_ANSWER_MILLIS);
    state.place(placement);
  }

  private void lose(Worker worker, Evidence evidence) {
    List<Placement> lost = new ArrayList<>(worker.placements().values());
    crashes.workerLost(worker, lost, evidence, at(LOST_AT_MILLIS + 1_000L * losses++));
    lost.forEach(state::release);
    state.workers().remove(worker.id());
  }

  private JobPhase phase(Task task) {
    return task.step().job().phase();
  }

  /** Guards against blaming the neighbours of the task that crashed a worker. */
  @Example
  void onlyStartsThatTheWorkerHasNotSurvivedAreSuspects() {
    Worker worker = worker();
    Task survived = task("survived");
    Task recent = task("recent");
    start(survived, worker, LAST_ANSWER_MILLIS - 1_000);
    start(recent, worker, LAST_ANSWER_MILLIS - 5);
    lose(worker, Evidence.REPLACED);
    assertThat(survived.suspected()).isFalse();
    assertThat(recent.crashCount()).isEqualTo(1);
    assertThat(phase(recent)).isEqualTo(JobPhase.PENDING);
  }

  /** Guards against a task that crashes worker after worker. */
  @Example
  void onlySuspectOfASecondLossIsGivenUp() {
    Task task = task("crashing");
    for (int loss = 0; loss < 2; loss++) {
      Worker worker = worker();
      start(task("neighbour" + loss), worker, LAST_ANSWER_MILLIS - 2_000);
      start(task, worker, LAST_ANSWER_MILLIS);
      assertThat(phase(task)).isEqualTo(JobPhase.PENDING);
      lose(worker, Evidence.REPLACED);
    }
    assertThat(phase(task)).isEqualTo(JobPhase.FAILED);
  }

  /** Guards against failing a job for a second loss that another task may have caused. */
  @Example
  void suspectBesideAnotherOneIsGivenUpWithTheThirdLossOnly() {
    Task task = task("crashing");
    for (int loss = 0; loss < 3; loss++) {
      assertThat(phase(task)).isEqualTo(JobPhase.PENDING);
      Worker worker = worker();
      start(task("other" + loss), worker, LAST_ANSWER_MILLIS);
      start(task, worker, LAST_ANSWER_MILLIS);
      lose(worker, Evidence.REPLACED);
    }
    assertThat(phase(task)).isEqualTo(JobPhase.FAILED);
  }

  /** Guards against failing a job because its workers were cut off. */
  @Example
  void lossByExpiredLeasesIsNoCertainCrash() {
    Task task = task("cutoff");
    for (int loss = 0; loss < 2; loss++) {
      Worker worker = worker();
      start(task, worker, LAST_ANSWER_MILLIS);
      lose(worker, Evidence.LEASE_EXPIRED);
    }
    assertThat(task.crashCount()).isEqualTo(2);
    assertThat(phase(task)).isEqualTo(JobPhase.PENDING);
  }

  /** Guards against failing a job because a rack lost power twice. */
  @Example
  void lossOfManyWorkersAtOnceIsNoCertainCrash() {
    Task task = task("rack");
    for (int loss = 0; loss < 2; loss++) {
      long silentAtMillis = LAST_ANSWER_MILLIS + 20 + 2_000 * loss;
      List<Worker> rack = new ArrayList<>();
      for (int index = 0; index < 4; index++) {
        rack.add(worker(false, silentAtMillis + 50 * index));
      }
      start(task, rack.getLast(), silentAtMillis + 100);
      rack.forEach(worker -> lose(worker, Evidence.REPLACED));
    }
    assertThat(task.crashCount()).isEqualTo(2);
    assertThat(phase(task)).isEqualTo(JobPhase.PENDING);
  }

  /** Guards against a suspect that may crash workers without end beside other losses. */
  @Example
  void taskIsGivenUpBeforeItsSixthStartInAnyCase() {
    Task task = task("crashing");
    for (int loss = 0; loss < 3; loss++) {
      lose(worker(), Evidence.REPLACED);
    }
    for (int loss = 0; loss < 5; loss++) {
      assertThat(phase(task)).isEqualTo(JobPhase.PENDING);
      Worker worker = worker();
      start(task("other" + loss), worker, LAST_ANSWER_MILLIS);
      start(task, worker, LAST_ANSWER_MILLIS);
      lose(worker, Evidence.REPLACED);
    }
    assertThat(phase(task)).isEqualTo(JobPhase.FAILED);
  }

  /** Guards against a crash that is not counted because the coordinator changed after the start. */
  @Example
  void runsThatAreUnreportedSinceATakeoverAreSuspects() {
    Worker worker = worker();
    Task task = task("restored");
    restore(task, 1, worker);
    lose(worker, Evidence.REPLACED);
    assertThat(task.startLossCount()).isEqualTo(1);
    assertThat(task.crashCount()).isZero();
  }

  /**
   * Guards against failing a job whose workers had been lost for other reasons at two takeovers.
   */
  @Example
  void lossOfARunThatIsUnreportedSinceATakeoverIsNoCertainCrash() {
    Task task = task("takeovers");
    for (int loss = 0; loss < 2; loss++) {
      Worker worker = worker();
      restore(task, loss + 1, worker);
      lose(worker, Evidence.REPLACED);
    }
    assertThat(task.startLossCount()).isEqualTo(2);
    assertThat(phase(task)).isEqualTo(JobPhase.PENDING);
  }

  /** Guards against counting the loss of a gang for each of its members and workers. */
  @Example
  void lossCountsOnceForARunOfAGang() {
    List<Task> members = tasks("gang", 3, true);
    Worker first = worker();
    Worker second = worker();
    start(members.get(0), first, LAST_ANSWER_MILLIS);
    start(members.get(1), first, LAST_ANSWER_MILLIS);
    start(members.get(2), second, LAST_ANSWER_MILLIS);
    lose(first, Evidence.REPLACED);
    lose(second, Evidence.REPLACED);
    assertThat(members).allMatch(member -> member.crashCount() == 1);
  }

  /** Guards against clearing a gang by a member that has not crashed its worker. */
  @Example
  void survivalOfOneMemberDoesNotClearTheGang() {
    List<Task> members = tasks("cleared-gang", 2, true);
    members.forEach(member -> member.losses(1, 1));
    Worker sound = worker();
    Placement placement = start(members.get(0), sound, LAST_ANSWER_MILLIS);
    sound.startSurvival().isolate(placement);
    start(members.get(1), worker(), LAST_ANSWER_MILLIS);
    sound.startSurvival().signOfLife(LAST_ANSWER_MILLIS + 200);
    crashes.answered(sound);
    assertThat(members).allMatch(Task::suspected);
    assertThat(sound.startSurvival().isolated()).isEmpty();
  }

  /** Guards against counting a run again that an earlier coordinator has counted as lost. */
  @Example
  void runThatIsCountedAlreadyIsNotCountedAgain() {
    Task task = task("moved");
    task.losses(1, 1);
    task.lastLostRun(1);
    Worker worker = worker();
    restore(task, 1, worker);
    lose(worker, Evidence.RESTARTED);
    assertThat(task.startLossCount()).isEqualTo(1);
  }

  /** Guards against suspects on a worker that was expected to shut down. */
  @Example
  void shutdownOfADrainingWorkerMakesNoSuspects() {
    Task task = task("drained");
    Worker worker = worker(true, LAST_ANSWER_MILLIS + 20);
    start(task, worker, LAST_ANSWER_MILLIS);
    lose(worker, Evidence.REPLACED);
    assertThat(task.suspected()).isFalse();
  }

  /** Guards against blaming the neighbours of the task whose crash broke off a renewal. */
  @Example
  void renewalThatIsBrokenOffExemptsEarlierStarts() {
    Task task = task("earlier");
    Worker worker = worker();
    start(task, worker, LAST_ANSWER_MILLIS);
    worker.startSurvival().brokeOff(LAST_ANSWER_MILLIS + 200);
    lose(worker, Evidence.REPLACED);
    assertThat(task.suspected()).isFalse();
  }

  /**
   * Guards against crashes of a suspected task that are not counted, as a slow relay reports the
   * refused connection to the worker only after the time in which the start would be survived.
   */
  @Example
  void renewalThatIsBrokenOffDoesNotExemptASuspectedTask() {
    Task task = task("suspected");
    task.losses(1, 1);
    Worker worker = worker();
    Placement placement = start(task, worker, LAST_ANSWER_MILLIS);
    worker.startSurvival().isolate(placement);
    worker.startSurvival().brokeOff(LAST_ANSWER_MILLIS + 200);
    worker.startSurvival().disconnected(LAST_ANSWER_MILLIS + 200);
    crashes.answered(worker);
    assertThat(task.suspected()).isTrue();
    lose(worker, Evidence.REPLACED);
    assertThat(task.startLossCount()).isEqualTo(2);
    // The worker may also have been lost for another reason, which must not fail the job.
    assertThat(task.crashCount()).isEqualTo(1);
  }

  /** Guards against a crash that does not count as the start is answered after the connections. */
  @Example
  void startThatIsAnsweredAfterTheConnectionsHaveClosedCountsAsACrash() {
    Task task = task("overtaken");
    Worker worker = worker();
    Placement placement = new Placement(task, 1, worker, 100, LAST_ANSWER_MILLIS);
    state.place(placement);
    placement.orderSent(state.events().next(), LAST_ANSWER_MILLIS + 5);
    placement.markConfirmed(state.events().next(), LAST_ANSWER_MILLIS + 40);
    worker.startSurvival().signOfLife(LAST_ANSWER_MILLIS + 5);
    lose(worker, Evidence.REPLACED);
    assertThat(task.crashCount()).isEqualTo(1);
  }

  /** Guards against a cleared task whose starts are still isolated. */
  @Example
  void answerAfterAnIsolatedStartClearsTheTask() {
    Task task = task("cleared");
    task.losses(1, 1);
    Worker worker = worker();
    Placement placement = start(task, worker, LAST_ANSWER_MILLIS);
    worker.startSurvival().isolate(placement);
    worker.startSurvival().signOfLife(LAST_ANSWER_MILLIS + 50);
    crashes.answered(worker);
    assertThat(task.suspected()).isTrue();
    worker.startSurvival().signOfLife(LAST_ANSWER_MILLIS + 200);
    crashes.answered(worker);
    assertThat(task.suspected()).isFalse();
    assertThat(worker.startSurvival().isolated()).isEmpty();
  }
}
