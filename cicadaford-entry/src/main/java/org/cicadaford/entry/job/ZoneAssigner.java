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

/** Assigns the tasks of a job to availability zones. */
final class ZoneAssigner {

  private static final long ZONE_OUT_RETRY_MILLIS = 5_000;

  private ZoneAssigner() {}

  /**
   * Returns the task indexes assigned to each zone. Services and batch jobs are spread evenly over
   * the allowed zones that are in service and have a large enough worker; a gang goes to the one
   * with the most capacity.
   *
   * @param rotation selects the zone of the first task, so that small jobs are spread too
   */
  static Map<String, List<Integer>> assign(
      JobDescription job, ConfigState config, List<Member> members, int rotation)
      throws RefusedException {
    Map<String, List<Member>> workersByZone = allowedWorkersByZone(job, members);
    List<String> candidateZones =
        new ArrayList<>(
            workersByZone.keySet().stream().filter(z -> !config.isZoneTakenOut(z)).toList());
    if (candidateZones.isEmpty()) {
      throw noZoneRefusal(job, workersByZone.isEmpty());
    }
    candidateZones.removeIf(zone -> !hasCapacity(job, workersByZone.get(zone)));
    if (candidateZones.isEmpty()) {
      refuseWithoutCapacity(job, workersByZone);
    }
    checkTeamLimit(job, config);
    return job.kind() == JobKind.GANG
        ? assignGang(job, candidateZones, workersByZone)
        : spreadTasks(job, candidateZones, rotation);
  }

  private static Map<String, List<Member>> allowedWorkersByZone(
      JobDescription job, List<Member> members) {
    Map<String, List<Member>> workersByZone = new TreeMap<>();
    for (Member member : members) {
      if (member.role() == Role.WORKER && job.allowsZone(member.zone())) {
        workersByZone.computeIfAbsent(member.zone(), zone -> new ArrayList<>()).add(member);
      }
    }
    return workersByZone;
  }

  private static boolean hasCapacity(JobDescription job, List<Member> workers) {
    Resources resources = job.resourcesPerTask();
    if (job.kind() != JobKind.GANG) {
      return workers.stream().anyMatch(worker -> resources.fitsIn(worker.capacity()));
    }
    return fittingTaskCount(job, workers) >= job.taskCount();
  }

  /** Returns how many tasks would fit on the workers if these were empty. */
  private static long fittingTaskCount(JobDescription job, List<Member> workers) {
    Map<String, Long> byRack = new TreeMap<>();
    for (Member worker : workers) {
      byRack.merge(worker.rack(), fittingTaskCount(job.resourcesPerTask(), worker), Long::sum);
    }
    long perRack = job.maxTasksPerRack() > 0 ? job.maxTasksPerRack() : Long.MAX_VALUE;
    return byRack.values().stream().mapToLong(count -> Math.min(count, perRack)).sum();
  }

  private static long fittingTaskCount(Resources resources, Member worker) {
    long count = JobDescription.MAX_TASK_COUNT;
    count = Math.min(count, maxTasksByResource(resources, worker, Resources::processorsMillicores));
    count = Math.min(count, maxTasksByResource(resources, worker, Resources::memoryMebibytes));
    return Math.min(count, maxTasksByResource(resources, worker, Resources::acceleratorCount));
  }

  private static long maxTasksByResource(
      Resources resources, Member worker, ToLongFunction<Resources> amount) {
    long needed = amount.applyAsLong(resources);
    return needed == 0 ? Long.MAX_VALUE : amount.applyAsLong(worker.capacity()) / needed;
  }

  private static RefusedException noZoneRefusal(JobDescription job, boolean noWorkerListed) {
    String zones = job.zones().isEmpty() ? "the cell" : "zones " + String.join(", ", job.zones());
    String cause = noWorkerListed ? ": no worker is listed" : ": out of service";
    return new RefusedException(
        Refusal.retryable(
            RefusalKind.NO_ZONE,
            zones + cause + "; allow other zones in the description or retry later",
            ZONE_OUT_RETRY_MILLIS));
  }

  /** Refuses a job as retryable if it fits only in zones out of service, otherwise for good. */
  private static void refuseWithoutCapacity(
      JobDescription job, Map<String, List<Member>> workersByZone) throws RefusedException {
    boolean fitsSomewhere =
        workersByZone.values().stream().anyMatch(workers -> hasCapacity(job, workers));
    if (fitsSomewhere) {
      throw noZoneRefusal(job, false);
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

  private static void checkTeamLimit(JobDescription job, ConfigState config)
      throws RefusedException {
    long limit = config.team(job.team()).orElseThrow().limitMillicores();
    int concurrentTaskCount = job.kind() == JobKind.GANG ? job.taskCount() : 1;
    long needed = job.resourcesPerTask().processorsMillicores() * concurrentTaskCount;
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

  private static Map<String, List<Integer>> assignGang(
      JobDescription job, List<String> zones, Map<String, List<Member>> workersByZone) {
    String largestZone =
        zones.stream()
            .max(Comparator.comparingLong(zone -> fittingTaskCount(job, workersByZone.get(zone))))
            .orElseThrow();
    return Map.of(largestZone, indexes(0, 1, job.taskCount()));
  }

  private static Map<String, List<Integer>> spreadTasks(
      JobDescription job, List<String> zones, int rotation) {
    Map<String, List<Integer>> byZone = new TreeMap<>();
    List<String> sorted = List.copyOf(new TreeSet<>(zones));
    int first = Math.floorMod(rotation, sorted.size());
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
