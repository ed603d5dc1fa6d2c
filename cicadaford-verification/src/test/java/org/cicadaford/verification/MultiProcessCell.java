package org.cicadaford.verification;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.QueuePolicy;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskReport;
import org.cicadaford.model.TeamPolicy;
import org.cicadaford.model.WorkerCommand;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.MembershipUnavailableException;
import org.cicadaford.platform.PlatformClients;
import org.cicadaford.platform.PlatformException;
import org.cicadaford.platform.PlatformSettings;
import org.cicadaford.standin.EndpointStandin;
import org.cicadaford.standin.Faults;
import org.cicadaford.standin.LogStandin;
import org.cicadaford.standin.WorkerStandin;

/** Runs the platform stand-ins in the test process and each entry daemon in its own process. */
final class MultiProcessCell implements AutoCloseable {

  static final String ZONE = "Kolkata";
  static final String TEAM = "counters";
  static final Faults LOG_DOWN =
      new Faults(true, 0, 0, false, null, null, false, false, false, false, null);

  private static final long WORKER_ADVANCE_INTERVAL_MILLIS = 20;
  private static final long CONDITION_POLL_MILLIS = 20;
  private static final Resources WORKER_CAPACITY = new Resources(4_000, 8_192, 0);

  final LogStandin log = new LogStandin(LogStandin.Settings.DEFAULT);
  final List<WorkerStandin> workers = new ArrayList<>();
  final List<EndpointStandin> endpoints = new ArrayList<>();
  private final List<DaemonProcess> daemons = new ArrayList<>();
  private final Map<org.cicadaford.model.TaskId, Long> checkpoints = new ConcurrentHashMap<>();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
  private final PlatformClients clients;

  MultiProcessCell(int workerCount) throws IOException, PlatformException {
    log.start();
    clients = new PlatformClients(PlatformSettings.forLog("127.0.0.1", log.port()));
    clients.start();
    for (int index = 0; index < workerCount; index++) {
      addWorker("worker-" + index);
    }
    publish();
    timer.scheduleAtFixedRate(
        () -> workers.forEach(WorkerStandin::advance),
        0,
        WORKER_ADVANCE_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    timer.scheduleAtFixedRate(this::announce, 0, 500, TimeUnit.MILLISECONDS);
  }

  private void addWorker(String id) throws IOException {
    WorkerStandin worker =
        new WorkerStandin(
            new WorkerStandin.Settings(id, ZONE, "rack-" + id, WORKER_CAPACITY, 0, 80, 1_000),
            checkpoints,
            System::currentTimeMillis);
    worker.start();
    workers.add(worker);
  }

  EndpointStandin addEndpoint(String id, String service) throws IOException {
    EndpointStandin endpoint =
        new EndpointStandin(new EndpointStandin.Settings(id, service, ZONE, "rack", 0, 8, 20));
    endpoint.start();
    endpoints.add(endpoint);
    return endpoint;
  }

  private void announce() {
    List<Member> members = new ArrayList<>();
    workers.forEach(worker -> members.addAll(worker.announcement()));
    endpoints.forEach(endpoint -> members.addAll(endpoint.announcement()));
    for (Member member : members) {
      try {
        clients.membershipService().announce(member);
      } catch (MembershipUnavailableException e) {
        // The test has made the platform unavailable; the timer announces again.
        return;
      }
    }
  }

  private void publish() throws PlatformException {
    append(
        new ConfigRecord.ConfigPublished(
            "publish",
            -1,
            List.of(),
            List.of(new TeamPolicy(TEAM, 1, 100_000)),
            List.of(new QueuePolicy("open", true), new QueuePolicy("keyed", false)),
            List.of(),
            List.of(),
            List.of()));
  }

  /** Appends a configuration record, as the operator's command-line tool does. */
  void append(ConfigRecord record) throws PlatformException {
    clients.logService().append("config", RecordCodec.encode(record));
  }

  DaemonProcess startDaemon(String instanceId) throws IOException {
    return startDaemon(instanceId, log.port());
  }

  DaemonProcess startDaemon(String instanceId, int logPort) throws IOException {
    DaemonProcess daemon = DaemonProcess.start(instanceId, ZONE, logPort);
    daemons.add(daemon);
    return daemon;
  }

  /** Returns all workers' reports of running and ended tasks. */
  List<TaskReport> reports() {
    List<TaskReport> reports = new ArrayList<>();
    for (WorkerStandin worker : workers) {
      Member member = worker.announcement().getFirst();
      reports.addAll(
          clients
              .workerService()
              .send(member, new WorkerCommand.Renew(List.of(), 0))
              .join()
              .reports());
    }
    return reports;
  }

  /** Blocks until the condition holds; the build's time limit ends a test that never gets there. */
  static void await(Callable<Boolean> condition) throws Exception {
    while (!condition.call()) {
      Thread.sleep(CONDITION_POLL_MILLIS);
    }
  }

  @Override
  public void close() throws InterruptedException, IOException {
    for (DaemonProcess daemon : daemons) {
      daemon.resume();
      daemon.kill();
    }
    timer.shutdownNow();
    clients.stop();
    workers.forEach(WorkerStandin::stop);
    endpoints.forEach(EndpointStandin::stop);
    log.stop();
  }
}
