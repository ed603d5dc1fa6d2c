package org.cicadaford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cicadaford.decision.ZoneApplyResult;
import org.cicadaford.decision.ZoneState;
import org.cicadaford.entry.job.JobReceipt;
import org.cicadaford.entry.job.JobReport;
import org.cicadaford.entry.job.JobRequest;
import org.cicadaford.entry.support.Await;
import org.cicadaford.entry.support.FakeCell;
import org.cicadaford.entry.support.FakeLog;
import org.cicadaford.entry.support.Samples;
import org.cicadaford.model.Resources;
import org.cicadaford.model.RunOutcome;
import org.cicadaford.model.ZoneRecord;
import org.cicadaford.model.ZoneRecord.OwnerBatch;
import org.cicadaford.platform.Member.Role;
import org.cicadaford.platform.Member.State;
import org.cicadaford.wire.PeerException;

/** Guards against tasks that run twice or never when instances compete, stop or lose the log. */
class EntryServicesTest {

  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  private final FakeLog log = new FakeLog();
  private final FakeCell cell = new FakeCell();
  private final List<EntryServices> started = new ArrayList<>();

  @AfterTry
  void stopAll() throws InterruptedException {
    log.setDown(false);
    log.setHeld(false);
    for (EntryServices services : started) {
      services.stop();
    }
  }

  @Example
  void tasksRunOnceWhenTwoInstancesCompeteAndTheOwnerStops() throws Exception {
    EntryServices first = start("first");
    EntryServices second = start("second");
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      jobs.add(submit(first, RequestIdIssuer.generate()).jobId());
    }
    awaitCompleted(first, jobs);
    EntryServices owner = first.zoneOwner().summary().owner() ? first : second;
    EntryServices other = owner == first ? second : first;

    owner.stop();
    started.remove(owner);
    jobs.add(submit(other, RequestIdIssuer.generate()).jobId());
    awaitCompleted(other, jobs);

    assertThat(cell.stateOf(owner.settings().instanceId())).isEqualTo(State.LEAVING);
    assertThat(cell.startsByTask()).hasSize(6 * 4);
    assertThat(cell.startsByTask().values()).containsOnly(1);
    assertThat(epochAndSequenceOfAppliedBatches()).doesNotHaveDuplicates();
  }

  @Example
  void lostAppendResponsesNeitherDuplicateNorLoseTasks() throws Exception {
    EntryServices services = start("first");
    log.loseAnswers(40);
    String requestId = RequestIdIssuer.generate();
    JobReceipt receipt = submit(services, requestId);

    JobReceipt repeated = submit(services, requestId);
    awaitCompleted(services, List.of(receipt.jobId()));

    assertThat(repeated).isEqualTo(receipt);
    assertThat(cell.startsByTask().values()).hasSize(4).containsOnly(1);
  }

  @Example
  void logOutageRefusesSubmissionAsNotRunAndWorkResumesAfterwards() throws Exception {
    EntryServices services = start("first");
    String jobId = submit(services, RequestIdIssuer.generate()).jobId();
    awaitCompleted(services, List.of(jobId));
    log.setDown(true);

    Refusal refusal = RefusalProbe.of(() -> request(services, RequestIdIssuer.generate()));
    log.setDown(false);
    String later = submit(services, RequestIdIssuer.generate()).jobId();
    awaitCompleted(services, List.of(later));

    assertThat(refusal.kind()).isEqualTo(RefusalKind.LOG_UNAVAILABLE);
    assertThat(refusal.runOutcome()).isEqualTo(RunOutcome.NOT_RUN);
    assertThat(refusal.retryAfterMillis()).isPositive();
    assertThat(cell.startsByTask()).hasSize(8);
  }

  @Example
  void stopWaitsForRequestsInProgressAndRefusesNewOnes() throws Exception {
    EntryServices services = start("first");
    services.requestLimiter().acquire();
    CompletableFuture<Void> stop = CompletableFuture.runAsync(() -> stopUninterruptibly(services));
    Await.until(() -> services.requestLimiter().isClosed());

    assertThat(services.readiness().ready()).isFalse();
    assertThat(RefusalProbe.ofThrown(() -> services.requestLimiter().acquire()).kind())
        .isEqualTo(RefusalKind.STOPPING);
    JobReceipt receipt = submit(services, RequestIdIssuer.generate());
    assertThat(receipt.taskIndexesByZone()).containsKey("a");
    assertThat(stop).isNotDone();

    services.requestLimiter().release();
    stop.join();
    started.remove(services);
    assertThat(cell.stateOf("first")).isEqualTo(State.LEAVING);
  }

  private EntryServices start(String instanceId) throws InterruptedException {
    if (started.isEmpty()) {
      Samples.publish(log);
      cell.addWorker("worker-1", "a", Samples.WORKER);
      cell.addWorker("worker-2", "a", Samples.WORKER);
    }
    EntryServices services =
        new EntryServices(
            Samples.settings(instanceId),
            cell.platform(log),
            ANY_PORT,
            InstantSource.system(),
            RandomGenerator.getDefault());
    try {
      services.start(FakeCell.member(instanceId, Role.ENTRY, "a", Resources.NONE));
    } catch (PeerException e) {
      throw new AssertionError(e);
    }
    started.add(services);
    Await.until(() -> services.readiness().ready());
    return services;
  }

  private static CompletableFuture<JobReceipt> request(EntryServices services, String requestId)
      throws RefusedException {
    return services
        .jobs()
        .submit(
            new JobRequest(requestId, Samples.KEY, "prize-list", null), System.currentTimeMillis());
  }

  private static JobReceipt submit(EntryServices services, String requestId)
      throws RefusedException {
    return request(services, requestId).join();
  }

  private static void awaitCompleted(EntryServices services, List<String> jobs)
      throws InterruptedException {
    for (String job : jobs) {
      Await.until(() -> stateOf(services, job).equals("completed"));
    }
  }

  private static String stateOf(EntryServices services, String jobId) {
    JobReport report =
        services.jobs().report(jobId, Samples.KEY, System.currentTimeMillis()).join();
    return report.state();
  }

  private List<String> epochAndSequenceOfAppliedBatches() {
    Set<String> seen = new HashSet<>();
    ZoneState state = new ZoneState();
    List<String> valid = new ArrayList<>();
    List<ZoneRecord> records = log.records("zone-a", ZoneRecord.class);
    for (int offset = 0; offset < records.size(); offset++) {
      boolean applied = state.apply(offset, records.get(offset)) instanceof ZoneApplyResult.Applied;
      if (applied && records.get(offset) instanceof OwnerBatch batch) {
        valid.add(batch.epoch() + "/" + batch.sequence());
        seen.add(batch.recordId());
      }
    }
    assertThat(seen).hasSameSizeAs(valid);
    return valid;
  }

  private static void stopUninterruptibly(EntryServices services) {
    try {
      services.stop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
