package org.cicadaford.cell.learning;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/** Tests from how many tasks the speed of a worker is known, and when it is forgotten. */
class StepComparisonTest {

  private static final int WORKERS = 120;
  private static final int SLOW_WORKERS = 40;
  private static final int TASKS = 25;
  private static final long STEP_MILLIS = 50;

  private final Random random = new Random(41);
  private final StepComparison comparison = new StepComparison();
  private final List<WorkerSpeed> workers =
      Stream.generate(WorkerSpeed::new).limit(WORKERS).toList();
  private long nowMillis = 1_000;
  private int steps;

  private static TimedRuns timedRuns(StepComparison.Run... runs) {
    TimedRuns timedRuns = new TimedRuns();
    List.of(runs).forEach(timedRuns::add);
    return timedRuns;
  }

  private static StepComparison.Run run(long durationMillis) {
    return new StepComparison.Run(new WorkerSpeed(), "other", durationMillis);
  }

  /** Compares a step of 25 tasks on random workers, of which the first may be slow. */
  private void playStep(double spread, double slowFactor, int slowWorkers) {
    TimedRuns runs = new TimedRuns();
    for (int task = 0; task < TASKS; task++) {
      int worker = random.nextInt(WORKERS);
      double factor = worker < slowWorkers ? slowFactor : 1;
      factor *= random.nextInt(33) == 0 ? 7 : 1;
      long millis = Math.round(1_900 * factor * Math.exp(spread * random.nextGaussian()));
      runs.add(new StepComparison.Run(workers.get(worker), steps + "/" + task, millis));
    }
    steps++;
    comparison.compare(runs, nowMillis);
    nowMillis += STEP_MILLIS;
  }

  private long count(SpeedClass speedClass, int from, int to) {
    double usual = workers.stream().mapToDouble(WorkerSpeed::slowness).sorted().toArray()[60];
    workers.forEach(worker -> worker.update(usual, nowMillis));
    return workers.subList(from, to).stream()
        .filter(worker -> worker.speedClass() == speedClass)
        .count();
  }

  /** Returns the number of tasks for each worker until 9 in 10 slow workers are known. */
  private int tasksUntilSlowOnesAreKnown(double spread) {
    int played = 0;
    while (count(SpeedClass.SLOW, 0, SLOW_WORKERS) < 0.9 * SLOW_WORKERS && played < 1_000) {
      playStep(spread, 1.3, SLOW_WORKERS);
      played++;
    }
    assertThat(count(SpeedClass.SLOW, SLOW_WORKERS, WORKERS)).isLessThan(8);
    return played * TASKS / WORKERS;
  }

  /** Guards against an estimate that needs so many tasks that it is known too late to be used. */
  @Example
  void aWorkerSlowerByAThirdIsToldApartAfterSomeTasks() {
    int tasks = tasksUntilSlowOnesAreKnown(0.15);
    assertThat(tasks).isBetween(2, 12);
  }

  /** Guards against a threshold that work of uneven size never reaches. */
  @Example
  void unevenWorkNeedsMoreTasks() {
    int tasks = tasksUntilSlowOnesAreKnown(0.3);
    assertThat(tasks).isBetween(5, 40);
  }

  /** Guards against tasks that take seven times as long and make their workers seem slow. */
  @Example
  void longTasksDoNotMakeWorkersSlow() {
    IntStream.range(0, 150).forEach(step -> playStep(0.15, 1, 0));
    assertThat(count(SpeedClass.NORMAL, 0, WORKERS)).isGreaterThan(WORKERS - 6);
  }

  /** Guards against a temporary slowness that is found late, or assumed long after its end. */
  @Example
  void aWorkerThatIsSlowForSecondsIsKnownAfterTwoTasksAndForgottenAfterSeconds() {
    IntStream.range(0, 60).forEach(step -> playStep(0.15, 1, 0));
    WorkerSpeed slow = workers.getFirst();
    for (int run = 0; run < 2; run++) {
      StepComparison.Run running = new StepComparison.Run(slow, "slow/" + run, 5_700);
      assertThat(count(SpeedClass.VERY_SLOW, 0, 1)).isZero();
      TimedRuns completed = timedRuns(run(1_900), run(2_000));
      assertThat(comparison.compareRunning(running, completed, 4, nowMillis)).isTrue();
    }
    assertThat(count(SpeedClass.VERY_SLOW, 0, 1)).isOne();
    assertThat(slow.factor()).isBetween(2.0, 8.0);
    nowMillis += 3_100;
    assertThat(count(SpeedClass.VERY_SLOW, 0, 1)).isZero();
    assertThat(slow.factor()).isLessThan(1.2);
  }

  /** Guards against a factor that gives runs more time because of a difference by chance. */
  @Example
  void theFactorOfAWorkerThatIsNotSignificantlySlowerIsOne() {
    WorkerSpeed worker = workers.getFirst();
    worker.observe(Math.log(1.3), 0.04, nowMillis);
    worker.update(0, nowMillis);
    assertThat(worker.slowness()).isGreaterThan(0.05);
    assertThat(worker.speedClass()).isEqualTo(SpeedClass.NORMAL);
    assertThat(worker.factor()).isEqualTo(1);
  }

  /** Guards against conclusions from a task that nothing can be compared with. */
  @Example
  void aStepOfOneTaskOrOnOneWorkerShowsNothing() {
    WorkerSpeed worker = workers.getFirst();
    comparison.compare(timedRuns(new StepComparison.Run(worker, "a", 9_000)), nowMillis);
    StepComparison.Run first = new StepComparison.Run(worker, "b", 100);
    comparison.compare(timedRuns(first, new StepComparison.Run(worker, "c", 9_000)), nowMillis);
    assertThat(worker.comparedCount()).isZero();
    assertThat(comparison.compareRunning(first, timedRuns(run(1)), 1, nowMillis)).isFalse();
    assertThat(count(SpeedClass.NORMAL, 0, WORKERS)).isEqualTo(WORKERS);
  }
}
