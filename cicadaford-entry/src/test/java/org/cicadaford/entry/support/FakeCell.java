package org.cicadaford.entry.support;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.cicadaford.entry.PlatformServices;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskReport;
import org.cicadaford.model.WorkerAnswer;
import org.cicadaford.model.WorkerCommand;
import org.cicadaford.model.WorkerCommand.Lease;
import org.cicadaford.platform.EndpointAnswer;
import org.cicadaford.platform.EndpointCall;
import org.cicadaford.platform.EndpointService;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.Member.Role;
import org.cicadaford.platform.Member.State;
import org.cicadaford.platform.MembershipService;
import org.cicadaford.platform.WorkerService;

/** Simulates a membership list without delay and workers that complete each task immediately. */
public final class FakeCell implements MembershipService, WorkerService, EndpointService {

  private final Map<String, Member> members = new ConcurrentHashMap<>();
  private final Map<String, Map<Lease, TaskReport>> reports = new ConcurrentHashMap<>();
  private final Map<String, Integer> startsByTask = new ConcurrentHashMap<>();

  /** Returns this cell and a log as platform services. */
  public PlatformServices platform(FakeLog log) {
    return new PlatformServices(log, this, this, this);
  }

  /** Adds a worker. */
  public void addWorker(String id, String zone, Resources capacity) {
    members.put(id, member(id, Role.WORKER, zone, capacity));
  }

  /** Returns a live member. */
  public static Member member(String id, Role role, String zone, Resources capacity) {
    return new Member(id, role, zone, zone + "-rack", "127.0.0.1", 1, 0, "", capacity, State.LIVE);
  }

  /** Returns the number of starts by task id. */
  public Map<String, Integer> startsByTask() {
    return Map.copyOf(startsByTask);
  }

  /** Returns the announced state of an instance. */
  public State stateOf(String id) {
    return members.get(id).state();
  }

  @Override
  public List<Member> list() {
    return List.copyOf(members.values());
  }

  @Override
  public void announce(Member member) {
    members.put(member.instanceId(), member);
  }

  @Override
  public CompletableFuture<WorkerAnswer> send(Member worker, WorkerCommand command) {
    Map<Lease, TaskReport> known =
        reports.computeIfAbsent(worker.instanceId(), id -> new LinkedHashMap<>());
    synchronized (known) {
      if (command instanceof WorkerCommand.Start start && !known.containsKey(start.lease())) {
        known.put(start.lease(), run(start));
      }
      return CompletableFuture.completedFuture(
          new WorkerAnswer(worker.instanceId(), new ArrayList<>(known.values())));
    }
  }

  private TaskReport run(WorkerCommand.Start start) {
    long nowMillis = System.currentTimeMillis();
    boolean late = nowMillis > start.leaseUntilMillis();
    if (!late) {
      startsByTask.merge(start.lease().taskId().toString(), 1, Integer::sum);
    }
    return new TaskReport(
        start.lease(),
        late ? TaskReport.State.REFUSED : TaskReport.State.COMPLETED,
        start.program(),
        start.reserved(),
        late ? 0 : nowMillis,
        nowMillis,
        start.leaseUntilMillis());
  }

  @Override
  public CompletableFuture<EndpointAnswer> call(Member endpoint, EndpointCall call) {
    return CompletableFuture.completedFuture(
        new EndpointAnswer(call.requestId(), 200, call.contentType(), call.body()));
  }
}
