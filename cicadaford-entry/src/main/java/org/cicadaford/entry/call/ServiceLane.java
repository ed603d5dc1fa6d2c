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

/** Endpoints and waiting calls of one service; used by the call service's thread only. */
final class ServiceLane {

  private final CallRouter router;
  private final ServiceRateMeter rate = new ServiceRateMeter();
  private final CallQueue<CallInProgress> waiting;
  private final Map<String, Member> membersById = new HashMap<>();

  ServiceLane(CallSettings settings, EndpointSlotTracker slots, UniformRandomProvider random) {
    this.router = new CallRouter(settings.zone(), slots, random);
    this.waiting = new CallQueue<>(settings.maxWaitingPerService(), rate);
  }

  void update(List<Member> endpoints) {
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

  CallQueue<CallInProgress> waiting() {
    return waiting;
  }

  Member member(String endpointId) {
    return membersById.get(endpointId);
  }

  long retryAfterMillis() {
    return rate.estimatedWaitMillis(waiting.size() + 1);
  }
}
