package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.cicadaford.cell.learning.TimedRuns;

/** A step of a job in one occurrence, with its tasks and placement advice. */
final class StepRun {

  private final Job job;
  private final int occurrence;
  private final int index;
  private final String name;
  private final List<Task> tasks = new ArrayList<>();
  private final Map<String, Ticket> tickets = new HashMap<>();
  private final Map<String, Long> advisedAgainst = new HashMap<>();
  private final BitSet waiting = new BitSet();
  private final BitSet done = new BitSet();
  private final BitSet notOverdue = new BitSet();
  private final Map<Worker, Integer> placedByWorker = new HashMap<>();
  private int placedCount;
  private int unplacedRunCount;
  private boolean adviceInFlight;
  private OptionalLong adviceRetryAtMillis = OptionalLong.empty();
  private OptionalLong nextReportMillis = OptionalLong.empty();
  private OptionalLong firstTryMillis = OptionalLong.empty();
  private OptionalLong nextTryMillis = OptionalLong.empty();
  private OptionalLong readyAtMillis = OptionalLong.empty();
  private OptionalLong limitedSinceMillis = OptionalLong.empty();
  private int countedFailureRun;
  private final WaitTimeTracker waitTimes = new WaitTimeTracker();
  private final PhaseTimes phaseTimes = new PhaseTimes();
  private final TimedRuns timedRuns = new TimedRuns();
  private final long latestOnTimeStartMillis;
  private final long latestUsefulStartMillis;

  StepRun(Job job, int occurrence, int index) {
    this.job = job;
    this.occurrence = occurrence;
    this.index = index;
    this.name = job.id() + "." + occurrence + "." + index;
    for (int task = 0; task < spec().taskCount(); task++) {
      tasks.add(new Task(this, task));
    }
    waiting.set(0, tasks.size());
    JobObjective objective = job.objective();
    latestOnTimeStartMillis = objective.latestOnTimeStartMillis(index, job.beginMillis(occurrence));
    latestUsefulStartMillis = objective.latestUsefulStartMillis(index, job.beginMillis(occurrence));
  }

  /** Returns the time that the tasks of the step have waited so far. */
  WaitTimeTracker waitTimes() {
    return waitTimes;
  }

  /** Returns the durations of the phases of the task that completed the step. */
  PhaseTimes phaseTimes() {
    return phaseTimes;
  }

  /** Returns the runs that have completed tasks of the step, while others are not done. */
  TimedRuns timedRuns() {
    return timedRuns;
  }

  /** Records an attempt to place tasks of the step. */
  void markReady(long nowMillis) {
    if (readyAtMillis.isEmpty()) {
      readyAtMillis = OptionalLong.of(nowMillis);
    }
  }

  /** Returns the time of the first attempt to place tasks of the step. */
  OptionalLong readyAtMillis() {
    return readyAtMillis;
  }

  /** Returns the latest Unix time for a start that meets the objective of the job. */
  long latestOnTimeStartMillis() {
    return latestOnTimeStartMillis;
  }

  /** Returns the latest Unix time for a start whose result is still useful. */
  long latestUsefulStartMillis() {
    return latestUsefulStartMillis;
  }

  /** Updates the index of waiting, completed and overdue tasks after a change of a task. */
  void taskChanged(Task task) {
    waiting.set(task.index(), task.waiting());
    done.set(task.index(), task.done());
    Placement placement = task.placement();
    notOverdue.set(task.index(), placement != null && !task.done() && !placement.overdue());
  }

  /** Updates the placement counts after a task is placed or released. */
  void placementChanged(Task task, Placement before, Placement after) {
    if (before != null) {
      placedCount--;
      placedByWorker.merge(before.worker(), -1, (count, less) -> count == 1 ? null : count - 1);
    }
    if (after != null) {
      placedCount++;
      placedByWorker.merge(after.worker(), 1, Integer::sum);
    }
    taskChanged(task);
  }

  /** Updates the counts after a run of a task that is not placed was reported, or is over. */
  void unplacedRunsChanged(Task task, int change) {
    unplacedRunCount += change;
    taskChanged(task);
  }

  Job job() {
    return job;
  }

  int occurrence() {
    return occurrence;
  }

  int index() {
    return index;
  }

  /** Returns {@code JOB.OCCURRENCE.STEP}. */
  String name() {
    return name;
  }

  StepSpec spec() {
    return job.spec().steps().get(index);
  }

  List<Task> tasks() {
    return tasks;
  }

  boolean done() {
    return done.cardinality() == tasks.size();
  }

  /** Returns whether a task that is not done is placed, and its run is not overdue. */
  boolean runsNotOverdue() {
    return !notOverdue.isEmpty();
  }

  /** Returns the number of tasks that are neither done nor placed. */
  int waitingCount() {
    return waiting.cardinality();
  }

  List<Task> waitingTasks() {
    return waiting.stream().mapToObj(tasks::get).toList();
  }

  /** Returns whether tasks can be placed; a gang only once no member has a run any more. */
  boolean placeable() {
    return spec().gang()
        ? !done() && placedCount == 0 && unplacedRunCount == 0
        : !waiting.isEmpty();
  }

  /** Returns the number of tasks that are placed. */
  int placedCount() {
    return placedCount;
  }

  int placedOn(Worker worker) {
    return placedByWorker.getOrDefault(worker, 0);
  }

  /** Returns the run number of the next start of a gang. */
  int nextGangRun() {
    return tasks.stream().mapToInt(Task::lastRun).max().orElse(0) + 1;
  }

  Map<String, Ticket> tickets() {
    return tickets;
  }

  /** Returns the ticket for a worker that is valid at {@code untilMillis}, or null. */
  Ticket ticketFor(Worker worker, long untilMillis) {
    Ticket ticket = tickets.get(worker.id());
    boolean valid =
        ticket != null
            && ticket.incarnation() == worker.incarnation()
            && ticket.validUntilMillis() >= untilMillis;
    return valid ? ticket : null;
  }

  /** Returns whether the present incarnation of a worker has a ticket, which may have expired. */
  boolean hasTicket(Worker worker) {
    Ticket ticket = tickets.get(worker.id());
    return ticket != null && ticket.incarnation() == worker.incarnation();
  }

  /** Returns whether advice has refused the present incarnation of a worker. */
  boolean isAdvisedAgainst(Worker worker) {
    Long incarnation = advisedAgainst.get(worker.id());
    return incarnation != null && incarnation == worker.incarnation();
  }

  /** Returns the incarnations that advice has refused for the step, by worker. */
  Map<String, Long> advisedAgainst() {
    return advisedAgainst;
  }

  /** Returns whether a report on the waiting step is due, and schedules the next one. */
  boolean reportDue(long nowMillis, long firstMillis, long intervalMillis) {
    if (ElapsedTime.isFuture(nextReportMillis, nowMillis)) {
      return false;
    }
    boolean first = nextReportMillis.isEmpty();
    nextReportMillis = OptionalLong.of(nowMillis + (first ? firstMillis : intervalMillis));
    return !first;
  }

  /** Returns whether the first placement attempt was at most {@code millis} ago. */
  boolean triedFirstWithin(long nowMillis, long millis) {
    if (firstTryMillis.isEmpty()) {
      firstTryMillis = OptionalLong.of(nowMillis);
    }
    return ElapsedTime.within(firstTryMillis, nowMillis, millis);
  }

  /** Returns whether the step is due for a retry without an event. */
  boolean tryDue(long nowMillis) {
    return !ElapsedTime.isFuture(nextTryMillis, nowMillis);
  }

  void nextTryMillis(long atMillis) {
    nextTryMillis = OptionalLong.of(atMillis);
  }

  /** Records that the limit of its team keeps the step from being placed. */
  void markLimited(long nowMillis) {
    if (limitedSinceMillis.isEmpty()) {
      limitedSinceMillis = OptionalLong.of(nowMillis);
    }
  }

  /** Records that a task of the step has been placed. */
  void clearLimited() {
    limitedSinceMillis = OptionalLong.empty();
  }

  /** Returns whether the limit has kept all tasks from being placed for a time. */
  boolean limitedFor(long nowMillis, long millis) {
    return ElapsedTime.isOlderThan(limitedSinceMillis, nowMillis, millis);
  }

  boolean adviceInFlight() {
    return adviceInFlight;
  }

  void adviceInFlight(boolean inFlight) {
    adviceInFlight = inFlight;
  }

  /** Returns whether calls for advice are delayed after a failed or empty one. */
  boolean adviceDelayed(long nowMillis) {
    return ElapsedTime.isFuture(adviceRetryAtMillis, nowMillis);
  }

  void adviceRetryAtMillis(long atMillis) {
    adviceRetryAtMillis = OptionalLong.of(atMillis);
  }

  /** Returns whether a failure of a gang run has not been counted yet, and counts it. */
  boolean countFailureOnce(int run) {
    if (run <= countedFailureRun) {
      return false;
    }
    countedFailureRun = run;
    return true;
  }
}
