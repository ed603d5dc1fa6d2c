package org.cicadaford.verification;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cicadaford.entry.job.TeamKeyVerifier;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.standin.Faults;
import org.cicadaford.verification.DaemonProcess.Reply;

/**
 * Guards against lost or restarted tasks, and against outdated configuration, when the log is
 * unreachable.
 */
class LogOutageTest {

  private static final String KEY = "counter-key";

  @Example
  void runningTasksCompleteAndNewJobsAreRefusedWhileTheLogIsDown() throws Exception {
    try (MultiProcessCell cell = new MultiProcessCell(2)) {
      DaemonProcess daemon = cell.startDaemon("entry-1");
      Reply running =
          daemon.post("/v1/jobs", JobRequestBodies.batch("long", 4, false, "sleep 20000"));
      MultiProcessCell.await(() -> new TaskHistory(cell.reports()).runningCount() == 4);

      cell.log.setFaults(MultiProcessCell.LOG_DOWN);
      Reply refused = daemon.post("/v1/jobs", JobRequestBodies.batch("new", 1, true, "echo new"));
      assertThat(refused.status()).isEqualTo(503);
      assertThat(refused.runOutcome()).isEqualTo("not-run");
      assertThat(refused.body().path("retryAfterMillis").asLong()).isPositive();
      MultiProcessCell.await(() -> new TaskHistory(cell.reports()).completedCount() == 4);
      cell.log.setFaults(Faults.NONE);

      MultiProcessCell.await(
          () ->
              daemon
                  .get("/v1/jobs/" + running.jobId())
                  .body()
                  .path("state")
                  .asText()
                  .equals("completed"));
      TaskHistory history = new TaskHistory(cell.reports());
      assertThat(history.restartedTasks()).isEmpty();
      assertThat(history.completedCount()).isEqualTo(4);
    }
  }

  @Example
  void partitionedDaemonLearnsOfAWithdrawnKeyFromItsPeer() throws Exception {
    try (MultiProcessCell cell = new MultiProcessCell(1);
        PartitionableProxy proxy = new PartitionableProxy(cell.log.port())) {
      cell.append(
          new ConfigRecord.KeyGranted("grant", TeamKeyVerifier.hash(KEY), MultiProcessCell.TEAM));
      DaemonProcess connected = cell.startDaemon("entry-1");
      DaemonProcess partitioned = cell.startDaemon("entry-2", proxy.port());
      MultiProcessCell.await(() -> submit(partitioned).status() == 202);

      proxy.partition();
      cell.append(new ConfigRecord.KeyWithdrawn("withdraw", TeamKeyVerifier.hash(KEY)));

      MultiProcessCell.await(() -> isUnknownKey(submit(partitioned)));
      MultiProcessCell.await(() -> isUnknownKey(submit(connected)));
    }
  }

  private static boolean isUnknownKey(Reply reply) {
    return reply.body().path("type").asText().endsWith("unknown-key");
  }

  private static Reply submit(DaemonProcess daemon) throws Exception {
    String body = JobRequestBodies.batch("keyed", 1, true, "echo done").replace("open", "keyed");
    return daemon.post("/v1/jobs", body, "Cicadaford-Key", KEY);
  }
}
