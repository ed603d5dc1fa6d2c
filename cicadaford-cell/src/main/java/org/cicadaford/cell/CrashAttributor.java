package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Decides which tasks may have crashed the workers that started them, and when to give them up.
 *
 * <p>A worker that crashes takes all its runs with it, and almost all of them are innocent. Only
 * runs whose start the worker is not known to have survived are suspects. The counts of a suspect
 * are stored with its task, so that they survive takeovers. The next start of a suspect is
 * isolated: its worker gets no other start until it has survived this one, which clears the task.
 */
final class CrashAttributor {

  /** What shows that a worker is lost. */
  enum Evidence {
    /** Another worker answers at its address. */
    REPLACED,
    /** It has started a new incarnation under its id. */
    RESTARTED,
    /** It does not answer, and its leases have expired; it may only be cut off. */
    LEASE_EXPIRED
  }

  /** Number of crashes from which a task is given up if nothing else can be the cause. */
  private static final int CERTAIN_CRASHES = 2;

  /** Number of crashes from which a task is given up if another task may be the cause. */
  private static final int PROBABLE_CRASHES = 3;

  /** Number that is added to these while workers are lost that no task explains. */
  private static final int UNEXPLAINED_ALLOWANCE = 2;

  /**
   * Number of workers lost after starting a task, whatever else may be the cause, from which it is
   * given up. The platform allows two more starts after three crashes.
   */
  private static final int MAX_START_LOSSES = 5;

  /**
   * Number of recent losses that no task explains from which further ones are expected to have
   * other causes as well.
   */
  private static final int UNEXPLAINED_LOSSES = 3;

  /** Time for which a lost worker counts for other ones, in milliseconds. */
  private static final long KEEP_LOSS_MILLIS = 15_000;

  /**
   * Minimum number of workers that are disconnected at once from which the cause is assumed to lie
   * outside of their tasks, such as the failure of a rack.
   */
  private static final int MIN_LOSSES_AT_ONCE = 4;

  /**
   * Part of all workers from which the same is assumed. In large cells, tasks of many jobs may
   * crash workers at once.
   */
  private static final double MIN_PART_LOST_AT_ONCE = 0.05;

  /** Time within which workers count as disconnected at once, in milliseconds. */
  private static final long AT_ONCE_MILLIS = 250;

  private final CellState state;
  private final RunEndHandler endHandler;
  private final PlacementReporter reporter;
  private final Map<String, Long> disconnectedAtMillisByLostWorker = new HashMap<>();
  private final List<Long> unexplainedAtMillis = new ArrayList<>();

  CrashAttributor(CellState state, RunEndHandler endHandler, PlacementReporter reporter) {
    this.state = state;
    this.endHandler = endHandler;
    this.reporter = reporter;
  }

  /** Clears the tasks whose starts the worker has survived, and admits other starts again. */
  void answered(Worker worker) {
    StartSurvivalTracker starts = worker.startSurvival();
    for (Placement placement : List.copyOf(starts.isolated())) {
      if (starts.survived(placement)) {
        starts.endIsolation(placement);
        if (placement.task().suspected() && allSurvived(placement.task())) {
          setLosses(placement.task(), 0, 0);
          reporter.crash(placement, "cleared");
        }
      }
    }
  }

  /** Returns whether all workers of a gang, or the one of another task, survived the start. */
  private static boolean allSurvived(Task task) {
    return task.members().stream()
        .map(Task::placement)
        .allMatch(
            placement ->
                placement != null && placement.worker().startSurvival().survived(placement));
  }

  /**
   * Counts the loss of a worker against the tasks that may have caused it.
   *
   * @param lost runs that are lost with the worker; they are still placed there
   */
  void workerLost(Worker worker, List<Placement> lost, Evidence evidence, ClockReading now) {
    long nowMillis = now.monotonicMillis();
    StartSurvivalTracker starts = worker.startSurvival();
    boolean leaving = worker.listing() != null && worker.listing().draining();
    List<Placement> suspects = leaving ? List.of() : starts.unsurvived(lost);
    List<Placement> likely = suspects.stream().filter(starts::closedAfterStartOf).toList();
    int lossesAtOnce = lossesAtOnce(worker, nowMillis);
    reporter.lost(worker, evidence.name(), lost.size(), suspects.size(), lossesAtOnce);
    if (!leaving && (likely.isEmpty() || oneOfMany(lossesAtOnce))) {
      unexplainedAtMillis.add(nowMillis);
    }
    unexplainedAtMillis.removeIf(atMillis -> nowMillis - atMillis > KEEP_LOSS_MILLIS);
    boolean certain = evidence != Evidence.LEASE_EXPIRED && single(suspects);
    for (Placement suspect : suspects) {
      // Members of a gang may be lost with several workers; their run counts once.
      if (suspect.task().lastLostRun() < suspect.run()) {
        count(suspect, likely.contains(suspect), crashLimit(certain), now);
      }
    }
  }

  private boolean oneOfMany(int lossesAtOnce) {
    return lossesAtOnce >= MIN_LOSSES_AT_ONCE
        && lossesAtOnce >= MIN_PART_LOST_AT_ONCE * state.workers().size();
  }

  /** Returns the number of crashes from which a suspect is given up. */
  private int crashLimit(boolean certain) {
    int allowance = unexplainedAtMillis.size() >= UNEXPLAINED_LOSSES ? UNEXPLAINED_ALLOWANCE : 0;
    return allowance + (certain ? CERTAIN_CRASHES : PROBABLE_CRASHES);
  }

  private void count(Placement suspect, boolean likely, int crashLimit, ClockReading now) {
    Task task = suspect.task();
    int crashes = task.crashCount() + (likely ? 1 : 0);
    int startLosses = task.startLossCount() + 1;
    setLosses(task, crashes, startLosses);
    task.members().forEach(member -> member.lastLostRun(suspect.run()));
    Job job = task.step().job();
    boolean giveUp = likely && crashes >= crashLimit || startLosses >= MAX_START_LOSSES;
    boolean givenUp = giveUp && !job.phase().terminal();
    reporter.crash(suspect, givenUp ? "given-up" : "suspected");
    if (givenUp) {
      endHandler.failJob(job, now);
    }
  }

  private void setLosses(Task task, int crashes, int startLosses) {
    task.members().forEach(member -> member.losses(crashes, startLosses));
    state.markForStore(task.step().job());
  }

  /** Returns whether all suspects are the same task, or members of the same gang. */
  private static boolean single(List<Placement> suspects) {
    return suspects.stream()
            .map(placement -> placement.task().members().getFirst())
            .distinct()
            .count()
        == 1;
  }

  /** Returns how many workers were disconnected at about the same time as a lost one. */
  private int lossesAtOnce(Worker worker, long nowMillis) {
    disconnectedAtMillisByLostWorker
        .values()
        .removeIf(atMillis -> nowMillis - atMillis > KEEP_LOSS_MILLIS);
    String life = worker.id() + "/" + worker.incarnation();
    OptionalLong disconnectedAt = worker.startSurvival().disconnectedAtMillis();
    disconnectedAtMillisByLostWorker.putIfAbsent(life, disconnectedAt.orElse(nowMillis));
    long atMillis = disconnectedAtMillisByLostWorker.get(life);
    long lost =
        disconnectedAtMillisByLostWorker.values().stream()
            .filter(otherMillis -> Math.abs(otherMillis - atMillis) <= AT_ONCE_MILLIS)
            .count();
    long silent =
        state.workers().values().stream()
            .filter(other -> other != worker)
            .map(other -> other.startSurvival().disconnectedAtMillis())
            .filter(other -> other.isPresent())
            .filter(other -> Math.abs(other.getAsLong() - atMillis) <= AT_ONCE_MILLIS)
            .count();
    return (int) (lost + silent);
  }
}
