package org.cicadaford.verification;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cicadaford.entry.job.TeamKeyVerifier;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.standin.Faults;
import org.cicadaford.verification.DaemonProcess.Reply;

/** Guards against lost work, and against broken promises, while the platform's log is away. */
class LogOutageTest {

  private static final String KEY = "counter-key";

  @Example
  void runningTasksGoOnAndNothingNewStartsWhileTheLogIsDown() throws Exception {
    try (ProcessCell cell = new ProcessCell(2)) {
      DaemonProcess daemon = cell.startDaemon("entry-1");
      Reply running = daemon.post("/v1/jobs", JobBodies.batch("long", 4, false, "sleep 20000"));
      ProcessCell.await(() -> new TaskHistory(cell.reports()).runningCount() == 4);

      cell.log.setFaults(ProcessCell.LOG_DOWN);
      Reply refused = daemon.post("/v1/jobs", JobBodies.batch("new", 1, true, "echo new"));
      assertThat(refused.status()).isEqualTo(503);
      assertThat(refused.ran()).isEqualTo("not-run");
      assertThat(refused.body().path("retryAfterMillis").asLong()).isPositive();
      ProcessCell.await(() -> new TaskHistory(cell.reports()).completedCount() == 4);
      cell.log.setFaults(Faults.NONE);

      ProcessCell.await(
          () ->
              daemon
                  .get("/v1/jobs/" + running.jobId())
                  .body()
                  .path("state")
                  .asText()
                  .equals("completed"));
      TaskHistory history = new TaskHistory(cell.reports());
      assertThat(history.tasksStartedAgain()).isEmpty();
      assertThat(history.completedCount()).isEqualTo(4);
    }
  }

  @Example
  void aDaemonCutOffFromTheLogHearsOfAWithdrawnKeyThroughItsPeer() throws Exception {
    try (ProcessCell cell = new ProcessCell(1);
        LogRelay relay = new LogRelay(cell.log.port())) {
      cell.append(
          new ConfigRecord.KeyGranted("grant", TeamKeyVerifier.hash(KEY), ProcessCell.TEAM));
      DaemonProcess informed = cell.startDaemon("entry-1");
      DaemonProcess cutOff = cell.startDaemon("entry-2", relay.port());
      ProcessCell.await(() -> submit(cutOff).status() == 202);

      relay.cut();
      cell.append(new ConfigRecord.KeyWithdrawn("withdraw", TeamKeyVerifier.hash(KEY)));

      ProcessCell.await(() -> isUnknownKey(submit(cutOff)));
      ProcessCell.await(() -> isUnknownKey(submit(informed)));
    }
  }

  private static boolean isUnknownKey(Reply reply) {
    return reply.body().path("type").asText().endsWith("unknown-key");
  }

  private static Reply submit(DaemonProcess daemon) throws Exception {
    String body = JobBodies.batch("keyed", 1, true, "echo done").replace("open", "keyed");
    return daemon.post("/v1/jobs", body, "Cicadaford-Key", KEY);
  }
}
