package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.PriorityQueue;
import org.cicadaford.decision.PlacementRound.Outcome;
import org.cicadaford.decision.WaitingIndex.QueueKey;
import org.cicadaford.decision.WaitingIndex.SizeClass;
import org.cicadaford.decision.WaitingIndex.TeamQueues;
import org.cicadaford.model.Urgency;

/**
 * Places waiting tasks by weighted dominant resource fairness: the team with the lowest weighted
 * dominant share goes next, and within a team the job that was submitted first. Work close to its
 * deadline is placed first.
 *
 * <p>If the first job of a team's size class finds no worker, the class is skipped for the rest of
 * the decision, so that the cost of a decision does not grow with the backlog. Size classes larger
 * than the largest free processors or memory of any worker are not tried at all.
 */
final class FairSharePlacer {

  /** Maximum placement attempts per decision, successful or not. */
  private static final int MAX_ATTEMPTS = 4_000;

  /** Maximum jobs of untried size classes considered for preemption per decision. */
  private static final int MAX_UNTRIED_RECORDED = 64;

  /** Maximum jobs close to their deadline per decision; the next decision continues after them. */
  private static final int MAX_DEADLINE_JOBS = 256;

  private final boolean fairShare;
  private final Map<String, List<JobStatus>> dueByTeam = new HashMap<>();
  private SizeClass largestFree;
  private SizeClass largestFreeForAccelerated;
  private int untriedRecorded;
  private int attempts;
  private QueueKey deadlineCursor;

  FairSharePlacer(boolean fairShare) {
    this.fairShare = fairShare;
  }

  /** Starts a new decision. */
  void beginDecision(PlacementRound round) {
    untriedRecorded = 0;
    attempts = 0;
    dueByTeam.clear();
  }

  /** Places work of one urgency. */
  void place(PlacementRound round, Urgency urgency) {
    largestFree = round.index().mostFree(urgency == Urgency.URGENT, false);
    largestFreeForAccelerated = round.index().mostFree(urgency == Urgency.URGENT, true);
    PriorityQueue<TeamTurn> turns = new PriorityQueue<>();
    for (Map.Entry<String, TeamQueues> entry : round.zone().waitingIndex().byTeam().entrySet()) {
      TeamQueues queues = entry.getValue();
      String team = entry.getKey();
      if (!queues.queues(urgency).isEmpty() && round.availableMillicores(team) > 0) {
        TeamTurn turn = new TeamTurn(round, team, queues, urgency);
        if (!turn.cursors.isEmpty()) {
          turn.updatePriority(round);
          turns.add(turn);
        }
      }
    }
    while (!turns.isEmpty() && !round.isFull() && attempts < MAX_ATTEMPTS) {
      TeamTurn turn = turns.poll();
      if (turn.placeNext(round)) {
        turn.updatePriority(round);
        turns.add(turn);
      }
    }
  }

  /**
   * Places jobs whose latest start time has been reached, earliest first. Jobs past their deadline
   * are placed in the usual order, so that they do not make more jobs late. Jobs of teams above
   * their share go first when it is their team's turn: placed earlier, they would take capacity
   * that teams below their share then reclaim by preemption.
   */
  void placeNearDeadline(PlacementRound round) {
    long now = round.nowMillis();
    QueueKey from = deadlineCursor == null ? new QueueKey(Long.MIN_VALUE, "") : deadlineCursor;
    deadlineCursor = null;
    int count = 0;
    for (Map.Entry<QueueKey, JobStatus> entry :
        round.zone().waitingIndex().byLatestStart().tailMap(from, false).entrySet()) {
      if (entry.getKey().atMillis() > now || round.isFull()) {
        return;
      }
      JobStatus job = entry.getValue();
      if (now <= job.submittedAtMillis() + job.description().deadlineMillis()) {
        placeDue(round, job);
      }
      if (++count >= MAX_DEADLINE_JOBS) {
        deadlineCursor = entry.getKey();
        return;
      }
    }
  }

  private void placeDue(PlacementRound round, JobStatus job) {
    if (!fairShare || round.isWithinShare(job)) {
      placeTasks(round, job);
    } else {
      dueByTeam.computeIfAbsent(job.description().team(), team -> new ArrayList<>()).add(job);
    }
  }

  private void placeTasks(PlacementRound round, JobStatus job) {
    if (PlacementRound.isGang(job)) {
      round.placeGang(job);
      return;
    }
    for (TaskStatus task : round.zone().waitingTasksOf(job.jobId())) {
      if (fairShare && !round.isWithinShare(job)) {
        return;
      }
      Outcome outcome = round.place(job, task);
      if (round.isFull() || outcome == Outcome.NO_ROOM || outcome == Outcome.NO_ALLOTMENT) {
        return;
      }
    }
  }

  /** Iterates over the waiting jobs of one size class of a team in submission order. */
  private static final class SizeClassCursor {
    private final ZoneState zone;
    private final Iterator<JobStatus> jobs;
    private JobStatus job;
    private Iterator<TaskStatus> tasks = Collections.emptyIterator();

    private SizeClassCursor(ZoneState zone, Iterator<JobStatus> jobs) {
      this.zone = zone;
      this.jobs = jobs;
      nextJob();
    }

    private boolean nextJob() {
      job = jobs.hasNext() ? jobs.next() : null;
      tasks = job == null ? tasks : zone.waitingTasksOf(job.jobId()).iterator();
      return job != null;
    }

    /** Advances to the next job that has a task left to try; returns whether there is one. */
    private boolean hasTask() {
      while (job != null && !tasks.hasNext()) {
        nextJob();
      }
      return job != null;
    }
  }

  /** Tries the waiting work of one team; ordered by the priority of the team. */
  private final class TeamTurn implements Comparable<TeamTurn> {
    private final String team;
    private final List<SizeClassCursor> cursors = new ArrayList<>();
    private final SizeClassCursor due;
    private double priority;

    private TeamTurn(PlacementRound round, String team, TeamQueues queues, Urgency urgency) {
      this.team = team;
      List<JobStatus> dueJobs = new ArrayList<>();
      for (JobStatus job : dueByTeam.getOrDefault(team, List.of())) {
        if (job.description().urgency() == urgency) {
          dueJobs.add(job);
        }
      }
      this.due = new SizeClassCursor(round.zone(), dueJobs.iterator());
      for (Map.Entry<SizeClass, NavigableMap<QueueKey, JobStatus>> entry :
          queues.queues(urgency).entrySet()) {
        NavigableMap<QueueKey, JobStatus> queue = entry.getValue();
        if (mayFit(entry.getKey())) {
          cursors.add(new SizeClassCursor(round.zone(), queue.values().iterator()));
        } else if (mayPreempt(round, urgency, entry.getKey())) {
          untriedRecorded++;
          round.recordBlocked(queue.firstEntry().getValue());
        }
      }
    }

    private boolean mayFit(SizeClass sizeClass) {
      SizeClass largest = sizeClass.accelerators() > 0 ? largestFreeForAccelerated : largestFree;
      return sizeClass.gangTasks() > 0 || sizeClass.mayFitIn(largest);
    }

    /** Returns whether preemption may be considered for an untried job of this size class. */
    private boolean mayPreempt(PlacementRound round, Urgency urgency, SizeClass sizeClass) {
      if (urgency == Urgency.URGENT || sizeClass.gangTasks() > 0) {
        return true;
      }
      return urgency == Urgency.NORMAL
          && untriedRecorded < MAX_UNTRIED_RECORDED
          && !round.isOverShare(team);
    }

    private void updatePriority(PlacementRound round) {
      if (fairShare) {
        priority = round.weightedShare(team);
      } else {
        SizeClassCursor first = first();
        priority = first == null ? 0 : first.job.submittedAtMillis();
      }
    }

    private SizeClassCursor first() {
      SizeClassCursor first = null;
      for (SizeClassCursor cursor : cursors) {
        if (first == null
            || WaitingIndex.submissionKey(cursor.job)
                    .compareTo(WaitingIndex.submissionKey(first.job))
                < 0) {
          first = cursor;
        }
      }
      return first;
    }

    /** Tries to place the team's first job and returns whether the team has more to try. */
    private boolean placeNext(PlacementRound round) {
      if (due.hasTask()) {
        placeNextDue(round);
        return true;
      }
      cursors.removeIf(cursor -> !cursor.hasTask());
      SizeClassCursor cursor = first();
      if (cursor == null) {
        return false;
      }
      attempts++;
      Outcome outcome = attempt(round, cursor);
      if (outcome == Outcome.NO_ALLOTMENT || outcome == Outcome.NO_ROOM) {
        skipClassOrJob(cursor);
      }
      return !cursors.isEmpty();
    }

    private void placeNextDue(PlacementRound round) {
      attempts++;
      Outcome outcome = attempt(round, due);
      if (outcome == Outcome.NO_ALLOTMENT || outcome == Outcome.NO_ROOM) {
        due.nextJob();
      }
    }

    private Outcome attempt(PlacementRound round, SizeClassCursor cursor) {
      JobStatus job = cursor.job;
      if (!PlacementRound.isGang(job)) {
        return round.place(job, cursor.tasks.next());
      }
      Outcome outcome = round.placeGang(job);
      if (outcome == Outcome.PLACED || outcome == Outcome.SKIPPED) {
        cursor.nextJob();
        cursors.removeIf(c -> c.job == null);
      }
      return outcome;
    }

    /** Skips a size class, or only the job if its own limit of tasks per rack may be the cause. */
    private void skipClassOrJob(SizeClassCursor cursor) {
      boolean hasRackLimit = cursor.job.description().maxTasksPerRack() > 0;
      if (!hasRackLimit || !cursor.nextJob()) {
        cursors.remove(cursor);
      }
    }

    @Override
    public int compareTo(TeamTurn other) {
      int byPriority = Double.compare(priority, other.priority);
      return byPriority != 0 ? byPriority : team.compareTo(other.team);
    }
  }
}
