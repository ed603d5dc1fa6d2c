package org.cicadaford.entry.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.model.Resources;
import org.cicadaford.platform.EndpointAnswer;
import org.cicadaford.platform.EndpointCall;
import org.cicadaford.platform.EndpointException;
import org.cicadaford.platform.EndpointException.Kind;
import org.cicadaford.platform.EndpointService;
import org.cicadaford.platform.Member;

/** Simulates the endpoints as seen by one process, and counts executions by call body. */
final class SimulatedEndpoints implements EndpointService {

  static final int ENTRY_COUNT = 2;

  private final SimulatedCell cell;
  private final Map<String, Integer> executionsByBody;
  private final Map<String, Integer> inFlight = new HashMap<>();
  private final Set<String> leavingIds = new HashSet<>();
  private List<Member> lastList = List.of();
  int attemptCount;

  SimulatedEndpoints(SimulatedCell cell, Map<String, Integer> executionsByBody) {
    this.cell = cell;
    this.executionsByBody = executionsByBody;
  }

  /**
   * Publishes a list of endpoints to the process, of which a random subset is leaving. At least one
   * stays, since otherwise no call runs and the properties hold trivially. Until the process has
   * applied the list, only endpoints leaving in both lists must not be called.
   */
  void publishNextList(SimulatedCell.Process process) {
    List<Member> members = new ArrayList<>();
    Set<String> nextLeavingIds = new HashSet<>();
    for (int index = 0; index < ENTRY_COUNT; index++) {
      members.add(member("entry-" + index, Member.Role.ENTRY, "z1", Member.State.LIVE));
    }
    int stayingIndex = cell.random.nextInt(4);
    for (int index = 0; index < 4; index++) {
      boolean leaving = index != stayingIndex && cell.chance(0.3);
      String id = "e-" + index;
      if (leaving) {
        nextLeavingIds.add(id);
      }
      Member.State state = leaving ? Member.State.LEAVING : Member.State.LIVE;
      members.add(member(id, Member.Role.ENDPOINT, index == 3 ? "z2" : "z1", state));
    }
    lastList = members;
    process.execute(() -> leavingIds.retainAll(nextLeavingIds));
    process.service.onMembershipChanged(members);
    process.execute(() -> leavingIds.addAll(nextLeavingIds));
  }

  List<Member> lastList() {
    return lastList;
  }

  private static Member member(String id, Member.Role role, String zone, Member.State state) {
    String service = role == Member.Role.ENDPOINT ? "s" : "";
    return new Member(id, role, zone, "r", "127.0.0.1", 1, 0, service, Resources.NONE, state);
  }

  @Override
  public CompletableFuture<EndpointAnswer> call(Member endpoint, EndpointCall call) {
    attemptCount++;
    String id = endpoint.instanceId();
    assertThat(leavingIds).as("endpoints that the list shows as leaving").doesNotContain(id);
    inFlight.merge(id, 1, Integer::sum);
    assertThat(inFlight.get(id)).as("slots in use of %s", id).isLessThanOrEqualTo(8 / ENTRY_COUNT);
    CompletableFuture<EndpointAnswer> answer = new CompletableFuture<>();
    answer.whenComplete((value, failure) -> inFlight.merge(id, -1, Integer::sum));
    cell.scheduleAfter(call.timeoutMillis(), () -> fail(answer, Kind.OUTCOME_UNKNOWN));
    if (cell.chance(0.15)) {
      cell.scheduleAfter(cell.random.nextLong(20), () -> fail(answer, Kind.NOT_STARTED));
      return answer;
    }
    String body = new String(call.body());
    cell.scheduleAfter(
        cell.random.nextLong(cell.chance(0.1) ? 3_000 : 20),
        () -> {
          executionsByBody.merge(body, 1, Integer::sum);
          String answeredId = cell.chance(0.05) ? "another request" : call.requestId();
          boolean lost = cell.chance(0.1);
          cell.scheduleAfter(
              cell.random.nextLong(cell.chance(0.2) ? 2_000 : 300),
              () -> {
                if (lost) {
                  fail(answer, Kind.OUTCOME_UNKNOWN);
                } else {
                  String text = answeredId.equals(call.requestId()) ? body : "wrong";
                  answer.complete(
                      new EndpointAnswer(answeredId, 200, "text/plain", text.getBytes()));
                }
              });
        });
    return answer;
  }

  private static void fail(CompletableFuture<EndpointAnswer> answer, Kind kind) {
    answer.completeExceptionally(new EndpointException(kind, "simulated", null));
  }
}
