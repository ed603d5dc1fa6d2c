package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import org.cicadaford.model.Resources;

/**
 * Tests that gangs which cannot start do not starve less urgent jobs in a cell with free workers.
 */
class GangStarvationTest {

  private static final String LABEL = "a";

  /** Number of workers with the label. */
  private static final int WORKERS = 8;

  private static final int OTHER_WORKERS = 16;

  /** Time within which the platform expects work that fits to start, in milliseconds. */
  private static final long MAX_WAIT_MILLIS = 3_000;

  private final SimulatedCell cell =
      new SimulatedCell(
          1,
          new CellConfig(
              1,
              List.of(queue("gangs", 1), queue("batch", 2)),
              List.of(new TeamShare("team", Set.of("key"), 1_000, Resources.NONE))),
          WORKERS + OTHER_WORKERS);

  GangStarvationTest() {
    for (int index = WORKERS; index < WORKERS + OTHER_WORKERS; index++) {
      SimulatedWorker worker = cell.workers.get("w" + index);
      worker.crash();
      worker.labels = Set.of("b");
      worker.restart(worker.incarnation + 100);
    }
    cell.run(3_000);
  }

  private static Queue queue(String name, int priority) {
    return new Queue(
        name, "h", "/" + name, "svc", priority, 4, 30, 1_000, 3_000, false, AdvicePolicy.NONE);
  }

  private void submit(String jobId, String queue, StepSpec step) {
    cell.submit(jobId, queue, "team", SimulatedJobs.job(jobId, step));
  }

  private static StepSpec tasks(int count, long millicores, long millis) {
    return step(count, millicores, millis, false, 0, LABEL);
  }

  private static StepSpec gang(int count, int tasksPerWorker) {
    return step(count, 9_000, 6_000, true, tasksPerWorker, LABEL);
  }

  private static StepSpec step(
      int count, long millicores, long millis, boolean gang, int tasksPerWorker, String label) {
    Resources demand = new Resources(millicores, 100, 0);
    return new StepSpec(
        count,
        demand,
        millis,
        List.of(),
        false,
        gang,
        false,
        label,
        "",
        tasksPerWorker,
        false,
        false,
        "",
        0,
        false,
        0);
  }

  /** Submits a small job 2 s after the gang, and checks that it runs in time. */
  private void assertLessUrgentJobStarts(String jobId) {
    cell.run(2_000);
    submit(jobId, "batch", tasks(2, 3_600, 500));
    cell.run(MAX_WAIT_MILLIS + 500);
    assertThat(cell.phaseOf(jobId)).isEqualTo(JobPhase.COMPLETED);
    assertThat(cell.violations).isEmpty();
  }

  /** Guards against a gang that keeps all workers with its label, of which there are too few. */
  @Example
  void gangWithTooFewWorkersKeepsNoneOfThem() {
    submit("spread", "gangs", gang(WORKERS + 2, 1));
    assertLessUrgentJobStarts("besidespread");
  }

  /** Guards against a gang that keeps workers although all of them are too small for it. */
  @Example
  void gangLargerThanTheServiceKeepsNoWorkers() {
    submit("large", "gangs", gang(2 * WORKERS, 0));
    assertLessUrgentJobStarts("besidelarge");
  }

  /** Guards against a gang that keeps idle workers for as long as a long task runs on another. */
  @Example
  void gangBehindALongTaskKeepsNoWorkers() {
    submit("long", "batch", tasks(1, 9_000, 600_000));
    cell.run(500);
    submit("behind", "gangs", gang(WORKERS, 1));
    assertLessUrgentJobStarts("besidebehind");
  }

  /** Guards against gangs that take turns in keeping the workers. */
  @Example
  void severalGangsThatCannotStartKeepNoWorkers() {
    for (int index = 0; index < 5; index++) {
      submit("several" + index, "gangs", gang(12, 1));
      cell.run(700);
    }
    for (int index = 0; index < 5; index++) {
      assertLessUrgentJobStarts("besideseveral" + index);
    }
  }

  /**
   * Guards against the suspension of a reservation while a gang waits in a busy service for tasks
   * that end one after the other.
   */
  @Example
  void gangInABusyServiceStartsBeforeLessUrgentWork() {
    int slots = 2 * (WORKERS + OTHER_WORKERS);
    cell.workMillis =
        (task, step) -> task.startsWith("running") ? 2_000 + 1_500 * (taskIndex(task) % 5) : 6_000;
    submit("running", "batch", step(slots, 8_000, 6_000, false, 0, ""));
    cell.run(500);
    submit("urgent", "gangs", step(6, 9_000, 6_000, true, 1, ""));
    cell.run(100);
    submit("backlog", "batch", step(4 * slots, 8_000, 6_000, false, 0, ""));
    cell.run(8_000);
    assertThat(cell.phaseOf("urgent")).isEqualTo(JobPhase.RUNNING);
    cell.run(6_500);
    assertThat(cell.phaseOf("urgent")).isEqualTo(JobPhase.COMPLETED);
  }

  private static int taskIndex(String task) {
    return Integer.parseInt(task.substring(task.lastIndexOf('.') + 1));
  }
}
