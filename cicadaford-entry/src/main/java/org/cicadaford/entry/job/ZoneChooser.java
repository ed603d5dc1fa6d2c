package org.cicadaford.entry.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToLongFunction;
import org.cicadaford.decision.ConfigState;
import org.cicadaford.entry.Refusal;
import org.cicadaford.entry.RefusalKind;
import org.cicadaford.entry.RefusedException;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.Resources;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.Member.Role;

/** Divides the tasks of a job among availability zones. */
final class ZoneChooser {

  private static final long ZONE_OUT_RETRY_MILLIS = 5_000;

  private ZoneChooser() {}

  /**
   * Returns which tasks each zone is to run: services and batch runs spread evenly over the allowed
   * zones that are in service and have a worker that is large enough; gangs in the one of them with
   * the most room.
   *
   * @param salt turns the zone that gets the first task, so that small jobs spread too
   */
  static Map<String, List<Integer>> choose(
      JobDescription job, ConfigState config, List<Member> members, int salt)
      throws RefusedException {
    Map<String, List<Member>> workersByZone = allowedWorkers(job, members);
    List<String> inService =
        new ArrayList<>(
            workersByZone.keySet().stream().filter(z -> !config.isZoneTakenOut(z)).toList());
    if (inService.isEmpty()) {
      throw noZone(job, workersByZone.isEmpty());
    }
    inService.removeIf(zone -> !hasRoom(job, workersByZone.get(zone)));
    if (inService.isEmpty()) {
      refuseOrWait(job, workersByZone);
    }
    checkLimit(job, config);
    return job.kind() == JobKind.GANG
        ? gang(job, inService, workersByZone)
        : spread(job, inService, salt);
  }

  private static Map<String, List<Member>> allowedWorkers(
      JobDescription job, List<Member> members) {
    Map<String, List<Member>> workersByZone = new TreeMap<>();
    for (Member member : members) {
      if (member.role() == Role.WORKER && job.allowsZone(member.zone())) {
        workersByZone.computeIfAbsent(member.zone(), zone -> new ArrayList<>()).add(member);
      }
    }
    return workersByZone;
  }

  private static boolean hasRoom(JobDescription job, List<Member> workers) {
    Resources size = job.resourcesPerTask();
    if (job.kind() != JobKind.GANG) {
      return workers.stream().anyMatch(worker -> size.fitsIn(worker.capacity()));
    }
    return tasksThatFit(job, workers) >= job.taskCount();
  }

  /** Returns how many tasks would fit on the workers if they were empty. */
  private static long tasksThatFit(JobDescription job, List<Member> workers) {
    Map<String, Long> byRack = new TreeMap<>();
    for (Member worker : workers) {
      byRack.merge(worker.rack(), tasksThatFit(job.resourcesPerTask(), worker), Long::sum);
    }
    long perRack = job.maxTasksPerRack() > 0 ? job.maxTasksPerRack() : Long.MAX_VALUE;
    return byRack.values().stream().mapToLong(count -> Math.min(count, perRack)).sum();
  }

  private static long tasksThatFit(Resources size, Member worker) {
    long count = JobDescription.MAX_TASK_COUNT;
    count = Math.min(count, ratio(size, worker, Resources::processorsMillicores));
    count = Math.min(count, ratio(size, worker, Resources::memoryMebibytes));
    return Math.min(count, ratio(size, worker, Resources::acceleratorCount));
  }

  private static long ratio(Resources size, Member worker, ToLongFunction<Resources> amount) {
    long needed = amount.applyAsLong(size);
    return needed == 0 ? Long.MAX_VALUE : amount.applyAsLong(worker.capacity()) / needed;
  }

  private static RefusedException noZone(JobDescription job, boolean noneListed) {
    String zones = job.zones().isEmpty() ? "the cell" : "zones " + String.join(", ", job.zones());
    String cause = noneListed ? ": no worker is listed" : ": out of service";
    return new RefusedException(
        Refusal.retryable(
            RefusalKind.NO_ZONE,
            zones + cause + "; allow other zones in the description or repeat the request later",
            ZONE_OUT_RETRY_MILLIS));
  }

  /** A job that fits only in zones that are out may wait for them; any other never fits. */
  private static void refuseOrWait(JobDescription job, Map<String, List<Member>> workersByZone)
      throws RefusedException {
    boolean fitsSomewhere =
        workersByZone.values().stream().anyMatch(workers -> hasRoom(job, workers));
    if (fitsSomewhere) {
      throw noZone(job, false);
    }
    String what =
        job.kind() == JobKind.GANG
            ? job.taskCount() + " tasks of this size at once in one zone"
            : "a task of this size";
    throw new RefusedException(
        Refusal.notRun(
            RefusalKind.IMPOSSIBLE_SIZE,
            "no allowed zone has workers for "
                + what
                + " ("
                + job.resourcesPerTask().processorsMillicores()
                + " millicores, "
                + job.resourcesPerTask().memoryMebibytes()
                + " MiB, "
                + job.resourcesPerTask().acceleratorCount()
                + " accelerators); lower the size in the description"));
  }

  private static void checkLimit(JobDescription job, ConfigState config) throws RefusedException {
    long limit = config.team(job.team()).orElseThrow().limitMillicores();
    int atOnce = job.kind() == JobKind.GANG ? job.taskCount() : 1;
    long needed = job.resourcesPerTask().processorsMillicores() * atOnce;
    if (needed > limit) {
      throw new RefusedException(
          Refusal.notRun(
              RefusalKind.IMPOSSIBLE_SIZE,
              "the job needs "
                  + needed
                  + " millicores at once, but the limit of team "
                  + job.team()
                  + " is "
                  + limit
                  + "; lower the size or ask an operator to raise the limit"));
    }
  }

  private static Map<String, List<Integer>> gang(
      JobDescription job, List<String> zones, Map<String, List<Member>> workersByZone) {
    String roomiest =
        zones.stream()
            .max(Comparator.comparingLong(zone -> tasksThatFit(job, workersByZone.get(zone))))
            .orElseThrow();
    return Map.of(roomiest, indexes(0, 1, job.taskCount()));
  }

  private static Map<String, List<Integer>> spread(
      JobDescription job, List<String> zones, int salt) {
    Map<String, List<Integer>> byZone = new TreeMap<>();
    List<String> sorted = List.copyOf(new TreeSet<>(zones));
    int first = Math.floorMod(salt, sorted.size());
    for (int i = 0; i < sorted.size() && i < job.taskCount(); i++) {
      String zone = sorted.get((first + i) % sorted.size());
      byZone.put(zone, indexes(i, sorted.size(), job.taskCount()));
    }
    return byZone;
  }

  private static List<Integer> indexes(int from, int step, int taskCount) {
    List<Integer> indexes = new ArrayList<>();
    for (int index = from; index < taskCount; index += step) {
      indexes.add(index);
    }
    return indexes;
  }
}
