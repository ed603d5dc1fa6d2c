package org.cicadaford.entry.call;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.cicadaford.decision.call.CallRouter;
import org.cicadaford.decision.call.EndpointSlots;
import org.cicadaford.decision.call.ListedEndpoint;
import org.cicadaford.decision.call.ServiceRate;
import org.cicadaford.decision.call.WaitingCalls;
import org.cicadaford.platform.Member;

/** Holds the endpoints and waiting calls of one service. Confined to the call event loop. */
final class ServiceState {

  private final CallRouter router;
  private final ServiceRate rate = new ServiceRate();
  private final WaitingCalls<CallInProgress> waitingCalls;
  private final Map<String, Member> membersById = new HashMap<>();

  ServiceState(CallSettings settings, EndpointSlots slots, UniformRandomProvider random) {
    this.router = new CallRouter(settings.zone(), slots, random);
    this.waitingCalls = new WaitingCalls<>(settings.maxWaitingPerService(), rate);
  }

  void updateEndpoints(List<Member> endpoints) {
    membersById.clear();
    endpoints.forEach(member -> membersById.put(member.instanceId(), member));
    router.update(
        endpoints.stream()
            .map(
                member ->
                    new ListedEndpoint(
                        member.instanceId(), member.zone(), member.state() == Member.State.LEAVING))
            .toList());
  }

  CallRouter router() {
    return router;
  }

  ServiceRate rate() {
    return rate;
  }

  WaitingCalls<CallInProgress> waitingCalls() {
    return waitingCalls;
  }

  Member member(String endpointId) {
    return membersById.get(endpointId);
  }

  long retryAfterMillis() {
    return rate.waitMillis(waitingCalls.size() + 1);
  }
}
