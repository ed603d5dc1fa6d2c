package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One step of a job in one occurrence, with its tasks and the advice on it. */
final class StepRun {

  private final Job job;
  private final int occurrence;
  private final int index;
  private final String name;
  private final List<Task> tasks = new ArrayList<>();
  private final Map<String, Ticket> tickets = new HashMap<>();
  private final Set<String> advisedAgainst = new HashSet<>();
  private boolean adviceInFlight;
  private long adviceRetryAtMillis;
  private long nextReportMillis;
  private int countedFailureRun;

  StepRun(Job job, int occurrence, int index) {
    this.job = job;
    this.occurrence = occurrence;
    this.index = index;
    this.name = job.id() + "." + occurrence + "." + index;
    for (int task = 0; task < spec().taskCount(); task++) {
      tasks.add(new Task(this, task));
    }
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
    return tasks.stream().allMatch(Task::done);
  }

  List<Task> waitingTasks() {
    return tasks.stream().filter(Task::waiting).toList();
  }

  /** Returns whether the step can be given to workers: for a gang only when no member is left. */
  boolean startable() {
    if (!spec().gang()) {
      return tasks.stream().anyMatch(Task::waiting);
    }
    return !done() && tasks.stream().allMatch(task -> task.placement() == null);
  }

  long placedOn(Worker worker) {
    return tasks.stream()
        .filter(task -> task.placement() != null && task.placement().worker() == worker)
        .count();
  }

  /** Returns the run number that the next start of a gang carries. */
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

  /** Returns the workers that may never run the step. */
  Set<String> advisedAgainst() {
    return advisedAgainst;
  }

  /** Returns whether the step has waited for a while since it was first tried or last reported. */
  boolean reportDue(long nowMillis, long intervalMillis) {
    if (nextReportMillis == 0) {
      nextReportMillis = nowMillis + intervalMillis;
    }
    if (nowMillis < nextReportMillis) {
      return false;
    }
    nextReportMillis = nowMillis + intervalMillis;
    return true;
  }

  boolean adviceInFlight() {
    return adviceInFlight;
  }

  void adviceInFlight(boolean inFlight) {
    adviceInFlight = inFlight;
  }

  long adviceRetryAtMillis() {
    return adviceRetryAtMillis;
  }

  void adviceRetryAtMillis(long atMillis) {
    adviceRetryAtMillis = atMillis;
  }

  /** Returns whether the failure of a gang's run is counted for the first time. */
  boolean countFailureOf(int run) {
    if (run <= countedFailureRun) {
      return false;
    }
    countedFailureRun = run;
    return true;
  }
}
