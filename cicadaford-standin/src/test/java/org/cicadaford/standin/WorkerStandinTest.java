package org.cicadaford.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashMap;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.Example;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskId;
import org.cicadaford.model.TaskReport;
import org.cicadaford.model.TaskReport.State;
import org.cicadaford.model.WorkerCommand;
import org.cicadaford.model.WorkerCommand.Lease;
import org.cicadaford.model.WorkerCommand.Renew;
import org.cicadaford.model.WorkerCommand.Start;
import org.cicadaford.model.WorkerCommand.Stop;
import org.cicadaford.model.WorkerCommand.Throttle;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.PlatformClients;
import org.cicadaford.platform.PlatformSettings;
import org.cicadaford.platform.WorkerUnreachableException;

/** Guards against a worker stand-in that runs a task without a lease or misreports its end. */
class WorkerStandinTest {

  private static final Lease FIRST = new Lease(new TaskId("j", 0), 1);
  private static final Lease SECOND = new Lease(new TaskId("j", 0), 2);

  private final AtomicLong nowMillis = new AtomicLong(1_000);
  private final WorkerStandin worker =
      new WorkerStandin(
          new WorkerStandin.Settings("w", "z", "r", new Resources(10, 10, 0), 0, 50, 500),
          new HashMap<>(),
          nowMillis::get);

  private static Start start(Lease lease, String program, long untilMillis) {
    return new Start(lease, new Resources(1_000, 100, 1), program, 0, untilMillis);
  }

  private TaskReport reportAfter(WorkerCommand command) {
    return worker.execute(command).reports().getFirst();
  }

  private TaskReport reportAt(long millis) {
    nowMillis.set(millis);
    return reportAfter(new Renew(List.of(), 0));
  }

  @Example
  void programsEndByTimer() {
    assertThat(reportAfter(start(FIRST, "echo hello you", 9_000)).answer()).isEqualTo("hello you");
    assertThat(reportAfter(start(SECOND, "fail", 9_000)).state()).isEqualTo(State.FAILED);
    Lease third = new Lease(new TaskId("j", 1), 1);
    assertThat(reportAfter(start(third, "sleep 100", 9_000)).state()).isEqualTo(State.RUNNING);
    nowMillis.set(1_100);
    assertThat(reportAfter(start(third, "sleep 100", 9_000)).state()).isEqualTo(State.COMPLETED);
  }

  @Example
  void startIsRefusedAfterItsLeaseEndedOrWasStopped() {
    assertThat(reportAfter(start(FIRST, "service", 1_000)).state()).isEqualTo(State.REFUSED);
    assertThat(reportAfter(new Stop(SECOND, false)).state()).isEqualTo(State.REFUSED);
    assertThat(reportAfter(start(SECOND, "service", 9_000)).state()).isEqualTo(State.REFUSED);
  }

  @Example
  void taskStopsWhenItsLeaseEndsAndIsReportedForTenMinutes() {
    worker.execute(start(FIRST, "service", 2_000));
    worker.execute(new Renew(List.of(FIRST), 3_000));
    worker.execute(new Renew(List.of(FIRST), 2_500));

    assertThat(reportAt(2_999).state()).isEqualTo(State.RUNNING);
    assertThat(reportAt(3_000).state()).isEqualTo(State.STOPPED);
    assertThat(reportAt(603_000).endedAtMillis()).isEqualTo(3_000);
    nowMillis.set(603_001);
    assertThat(worker.execute(new Renew(List.of(), 0)).reports()).isEmpty();
  }

  @Example
  void checkpointedRunIsResumed() {
    worker.execute(start(FIRST, "sleep 1000", 9_000));
    nowMillis.set(1_700);
    assertThat(reportAfter(new Stop(FIRST, true)).state()).isEqualTo(State.STOPPED);
    worker.execute(start(SECOND, "sleep 1000", 9_000));
    nowMillis.set(2_000);

    assertThat(worker.execute(new Renew(List.of(), 0)).reports().get(1).state())
        .isEqualTo(State.COMPLETED);
  }

  @Example
  void usageIsReportedAfterALagAndLimitedByThrottling() {
    assertThat(reportAfter(start(FIRST, "service", 9_000)).usage()).isEqualTo(Resources.NONE);
    assertThat(reportAt(1_500).usage()).isEqualTo(new Resources(500, 50, 1));
    assertThat(reportAfter(new Throttle(FIRST, 200)).usage().processorsMillicores()).isEqualTo(200);
  }

  @Example
  void faultsFailTasksAndPauseTheWorker() throws Exception {
    worker.start();
    PlatformClients clients =
        new PlatformClients(new PlatformSettings("127.0.0.1", 1, 500, 2_000, 1000, 100_000, 4));
    clients.start();
    try {
      Member member = worker.announcement().getFirst();
      worker.setFaults(new Faults(false, 0, 0, false, null, null, true, false, true, false, null));
      var answer = clients.workerService().send(member, start(FIRST, "service", 9_000)).join();
      assertThat(answer.reports().getFirst().state()).isEqualTo(State.FAILED);
      assertThat(worker.announcement().getFirst().state()).isEqualTo(Member.State.LEAVING);

      worker.setFaults(new Faults(false, 0, 0, false, null, null, false, true, false, false, null));
      assertThat(worker.announcement()).isEmpty();
      assertThatThrownBy(() -> clients.workerService().send(member, new Stop(FIRST, true)).join())
          .hasCauseInstanceOf(WorkerUnreachableException.class);
    } finally {
      clients.stop();
      worker.stop();
    }
  }
}
