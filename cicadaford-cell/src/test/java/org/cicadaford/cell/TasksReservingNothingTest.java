package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cicadaford.model.Resources;

/**
 * Tests that tasks which reserve none of a resource, or nothing at all, are scheduled like others.
 */
class TasksReservingNothingTest {

  private static final List<String> TEAMS = List.of("limited", "unlimited");
  private static final List<String> QUEUES = List.of("q", "batch");
  private static final int ROUNDS = 12;

  private static SimulatedCell cell(long seed) {
    List<Queue> queues = new ArrayList<>();
    for (int priority = 0; priority < QUEUES.size(); priority++) {
      AdvicePolicy advice = priority == 0 ? new AdvicePolicy(7, 0.1, 2_500) : AdvicePolicy.NONE;
      queues.add(SimulatedJobs.queue(QUEUES.get(priority), priority, advice));
    }
    List<TeamShare> teams =
        List.of(
            new TeamShare("limited", Set.of(), 0, new Resources(12_000, 12_000, 3)),
            new TeamShare("unlimited", Set.of(), 20, Resources.NONE));
    SimulatedCell cell = new SimulatedCell(seed, new CellConfig(1, queues, teams), 2);
    cell.workers.put(
        "a0", new SimulatedWorker("a0", "zone-0", new Resources(16_000, 32_000, 4), 0.99, 500));
    cell.run(1_000);
    return cell;
  }

  private static StepSpec step(
      int taskCount, Resources demand, long millis, boolean fills, Kind kind) {
    return new StepSpec(
        taskCount,
        demand,
        millis,
        List.of(),
        kind == Kind.CHECKPOINTING,
        kind == Kind.GANG,
        false,
        "",
        "",
        0,
        false,
        kind == Kind.LONG_RUNNING,
        "",
        0,
        fills,
        0);
  }

  private enum Kind {
    PLAIN,
    CHECKPOINTING,
    GANG,
    LONG_RUNNING
  }

  /** Draws a step of which a gang, too, fits into an idle cell and the limit of a team. */
  private static StepSpec drawStep(Random random) {
    Resources demand =
        new Resources(
            random.nextBoolean() ? 0 : 1_000 * (1 + random.nextInt(4)),
            random.nextBoolean() ? 0 : 1_000 * (1 + random.nextInt(4)),
            random.nextInt(4) > 0 ? 0 : 1);
    Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
    long millis = 500 + random.nextInt(2_500);
    return step(1 + random.nextInt(3), demand, millis, random.nextInt(3) == 0, kind);
  }

  private static void drawEvent(SimulatedCell cell, List<String> jobs) {
    Random random = cell.random;
    SimulatedWorker worker = List.copyOf(cell.workers.values()).get(random.nextInt(3));
    switch (random.nextInt(6)) {
      case 0 -> cell.coordinator.cancel(jobs.get(random.nextInt(jobs.size())), cell.moment());
      case 1 -> cell.takeOver();
      case 2 -> {
        if (worker.up) {
          long incarnation = worker.incarnation + 100;
          worker.crash();
          cell.after(1_000, () -> worker.restart(incarnation));
        }
      }
      case 3 -> {
        worker.reachable = false;
        cell.after(random.nextInt(9_000), () -> worker.reachable = true);
      }
      case 4 -> cell.drain("w0", 3_000);
      default -> {
        // Nothing happens in this round.
      }
    }
  }

  private static void endLongRunning(SimulatedCell cell, List<String> jobs) {
    for (String job : jobs) {
      if (SimulatedJobs.specOf(job).steps().getFirst().longRunning()) {
        cell.coordinator.cancel(job, cell.moment());
      }
    }
  }

  /**
   * Guards against a coordinator that fails on the end of a task, because it forgot that its team
   * has tasks when their reservations add up to nothing. Each successor failed on the same report.
   */
  @Example
  void tasksThatReserveNothingOutliveOtherTasksOfTheirTeam() {
    SimulatedCell cell = cell(1);
    Resources processors = new Resources(1_000, 0, 0);
    cell.submit(
        "ordinary",
        "batch",
        "unlimited",
        SimulatedJobs.job("ordinary", step(1, processors, 500, false, Kind.PLAIN)));
    cell.submit(
        "filling",
        "batch",
        "unlimited",
        SimulatedJobs.job("filling", step(3, processors, 2_000, true, Kind.PLAIN)));
    cell.run(1_500);
    assertThat(cell.ended).containsOnlyKeys("ordinary");
    cell.takeOver();
    cell.run(5_000);
    assertThat(cell.ended).containsOnlyKeys("ordinary", "filling");
  }

  /** Guards against failures of the coordinator on amounts of 0, whatever ends a placement. */
  @Property(tries = 40, seed = "4911")
  void allAmountsMayBeZero(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    SimulatedCell cell = cell(seed);
    List<String> jobs = new ArrayList<>();
    for (int round = 0; round < ROUNDS; round++) {
      for (int index = 0; index < 4; index++) {
        String id = "zero" + seed + "-" + round + "-" + index;
        String queue = QUEUES.get(cell.random.nextInt(QUEUES.size()));
        String team = TEAMS.get(cell.random.nextInt(TEAMS.size()));
        cell.submit(id, queue, team, SimulatedJobs.job(id, drawStep(cell.random)));
        jobs.add(id);
        cell.run(cell.random.nextInt(200));
      }
      drawEvent(cell, jobs);
      cell.run(cell.random.nextInt(1_000));
    }
    endLongRunning(cell, jobs);
    cell.run(90_000);
    assertThat(FaultScenarios.duplicatesAndOverloads(cell)).isEmpty();
    // A submission that was in transit at a takeover is not accepted.
    assertThat(cell.accepted).hasSizeGreaterThan(jobs.size() / 2);
    assertThat(cell.accepted.keySet()).allMatch(job -> cell.phaseOf(job).terminal());
  }
}
