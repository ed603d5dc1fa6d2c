package org.cicadaford.decision;

import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.Resources;
import org.cicadaford.model.Urgency;

/**
 * Indexes jobs with waiting tasks in the orders that the scheduler needs, so that a decision does
 * not scan the whole backlog.
 */
final class WaitingIndex {

  /**
   * Margin between the latest start of a job plus twice its declared run time and its deadline, in
   * milliseconds. Declared run times are often far too short, hence the doubling and the margin.
   */
  static final long DEADLINE_MARGIN_MILLIS = 60_000;

  /** Position of a job in a queue: ordered by time, then by id. */
  record QueueKey(long atMillis, String jobId) implements Comparable<QueueKey> {
    @Override
    public int compareTo(QueueKey other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : jobId.compareTo(other.jobId);
    }
  }

  /**
   * Groups task sizes that differ by at most a quarter.
   *
   * @param processors quarter octave of the processors
   * @param memory quarter octave of the memory
   * @param accelerators number of accelerators
   * @param gangTasks number of tasks of a gang job, or 0 for independent tasks
   */
  record SizeClass(int processors, int memory, int accelerators, int gangTasks) {

    static SizeClass of(JobDescription description) {
      Resources size = description.resourcesPerTask();
      boolean isGang = description.kind() == JobKind.GANG;
      return of(size, isGang ? description.taskCount() : 0);
    }

    static SizeClass of(Resources size, int gangTasks) {
      return new SizeClass(
          quarterOctaveOf(size.processorsMillicores()),
          quarterOctaveOf(size.memoryMebibytes()),
          size.acceleratorCount(),
          gangTasks);
    }

    /** Returns whether some size of this class may fit into some size of {@code room}'s class. */
    boolean mayFitIn(SizeClass room) {
      return processors <= room.processors && memory <= room.memory;
    }

    private static int quarterOctaveOf(long amount) {
      if (amount < 4) {
        return (int) Math.max(0, amount);
      }
      int octave = 63 - Long.numberOfLeadingZeros(amount);
      return 4 * octave + (int) (amount >> (octave - 2) & 3);
    }
  }

  /** Waiting jobs of one team. */
  static final class TeamQueues {
    private final Map<Urgency, Map<SizeClass, NavigableMap<QueueKey, JobStatus>>> queues =
        new EnumMap<>(Urgency.class);
    private long waitingMillicores;

    /** Returns the jobs of an urgency in the order of submission, by size class. */
    Map<SizeClass, NavigableMap<QueueKey, JobStatus>> queues(Urgency urgency) {
      return queues.getOrDefault(urgency, Map.of());
    }

    private void add(JobStatus job) {
      queues
          .computeIfAbsent(job.description().urgency(), urgency -> new HashMap<>())
          .computeIfAbsent(SizeClass.of(job.description()), size -> new TreeMap<>())
          .put(submissionKey(job), job);
    }

    private void remove(JobStatus job) {
      Urgency urgency = job.description().urgency();
      SizeClass size = SizeClass.of(job.description());
      NavigableMap<QueueKey, JobStatus> queue = queues.get(urgency).get(size);
      queue.remove(submissionKey(job));
      if (queue.isEmpty()) {
        queues.get(urgency).remove(size);
      }
      if (queues.get(urgency).isEmpty()) {
        queues.remove(urgency);
      }
    }
  }

  private final Map<String, TeamQueues> byTeam = new TreeMap<>();
  private final NavigableMap<QueueKey, JobStatus> bySubmission = new TreeMap<>();
  private final NavigableMap<QueueKey, JobStatus> byLatestStart = new TreeMap<>();
  private final NavigableMap<QueueKey, JobStatus> gangs = new TreeMap<>();

  /** Updates the index after the number of waiting tasks of a job changed. */
  void update(JobStatus job, int countBefore, int countAfter) {
    if (countBefore == countAfter) {
      return;
    }
    String team = job.description().team();
    TeamQueues queues = byTeam.computeIfAbsent(team, name -> new TeamQueues());
    queues.waitingMillicores +=
        (countAfter - countBefore) * job.description().resourcesPerTask().processorsMillicores();
    if (countBefore == 0) {
      add(job, queues);
    } else if (countAfter == 0) {
      remove(job, queues);
    }
  }

  private void add(JobStatus job, TeamQueues queues) {
    queues.add(job);
    bySubmission.put(submissionKey(job), job);
    if (job.description().kind() == JobKind.GANG) {
      gangs.put(submissionKey(job), job);
    }
    if (isOrderedByDeadline(job)) {
      byLatestStart.put(new QueueKey(latestStartMillis(job), job.jobId()), job);
    }
  }

  private void remove(JobStatus job, TeamQueues queues) {
    queues.remove(job);
    bySubmission.remove(submissionKey(job));
    gangs.remove(submissionKey(job));
    byLatestStart.remove(new QueueKey(latestStartMillis(job), job.jobId()));
    if (queues.queues.isEmpty()) {
      byTeam.remove(job.description().team());
    }
  }

  private static boolean isOrderedByDeadline(JobStatus job) {
    return job.description().deadlineMillis() > 0 && job.description().urgency() != Urgency.URGENT;
  }

  /**
   * Returns the latest time at which a job should start to meet its deadline; from then on it goes
   * before other work.
   */
  static long latestStartMillis(JobStatus job) {
    return job.submittedAtMillis()
        + job.description().deadlineMillis()
        - 2 * job.description().expectedRunMillis()
        - DEADLINE_MARGIN_MILLIS;
  }

  static QueueKey submissionKey(JobStatus job) {
    return new QueueKey(job.submittedAtMillis(), job.jobId());
  }

  /** Returns the waiting jobs by team. */
  Map<String, TeamQueues> byTeam() {
    return Collections.unmodifiableMap(byTeam);
  }

  /** Returns all waiting jobs in the order of submission. */
  NavigableMap<QueueKey, JobStatus> bySubmission() {
    return Collections.unmodifiableNavigableMap(bySubmission);
  }

  /** Returns the jobs that are not urgent and have a deadline, by their latest start. */
  NavigableMap<QueueKey, JobStatus> byLatestStart() {
    return Collections.unmodifiableNavigableMap(byLatestStart);
  }

  /** Returns the gang jobs with waiting tasks in the order of submission. */
  NavigableMap<QueueKey, JobStatus> gangs() {
    return Collections.unmodifiableNavigableMap(gangs);
  }

  /** Returns the teams with waiting tasks in the order of their names. */
  Collection<String> teams() {
    return Collections.unmodifiableCollection(byTeam.keySet());
  }

  /** Returns the declared processors of the team's waiting tasks, in millicores. */
  long waitingMillicores(String team) {
    TeamQueues queues = byTeam.get(team);
    return queues == null ? 0 : queues.waitingMillicores;
  }
}
