package org.cicadaford.entry.call;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.cicadaford.decision.call.CallQueue;
import org.cicadaford.decision.call.CallRouter;
import org.cicadaford.decision.call.EndpointSlotTracker;
import org.cicadaford.decision.call.ListedEndpoint;
import org.cicadaford.decision.call.ServiceRateMeter;
import org.cicadaford.platform.Member;

/** Holds the endpoints and waiting calls of one service. Confined to the call event loop. */
final class ServiceState {

  private final CallRouter router;
  private final ServiceRateMeter rate = new ServiceRateMeter();
  private final CallQueue<CallInProgress> waitingCalls;
  private final Map<String, Member> membersById = new HashMap<>();

  ServiceState(CallSettings settings, EndpointSlotTracker slots, UniformRandomProvider random) {
    this.router = new CallRouter(settings.zone(), slots, random);
    this.waitingCalls = new CallQueue<>(settings.maxWaitingPerService(), rate);
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

  ServiceRateMeter rate() {
    return rate;
  }

  CallQueue<CallInProgress> waitingCalls() {
    return waitingCalls;
  }

  Member member(String endpointId) {
    return membersById.get(endpointId);
  }

  long retryAfterMillis() {
    return rate.estimatedWaitMillis(waitingCalls.size() + 1);
  }
}
