package org.cicadaford.coordinator;

import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cicadaford.cell.ElapsedTime;
import org.cicadaford.model.capacity.FreeCapacityTree;
import org.cicadaford.wire.PeerLink;
import org.cicadaford.wire.PeerMessage;
import org.cicadaford.wire.PeerSettings;

/** Instances that have offered to help the coordinator, this one included. */
public final class HelperPool implements RelayPool {

  /** Time without an offer after which an instance is no longer asked, in milliseconds. */
  private static final long OFFER_VALID_MILLIS = 2_500;

  /**
   * Time without a heartbeat after which an instance gets nothing to do, in milliseconds: two
   * heartbeats and a reserve. What it is asked for behind a cut is answered only after the cut.
   */
  private static final long HEARD_MILLIS = 400;

  /** Time for which a relay that did not answer gets no orders, in milliseconds. */
  private static final long SUSPECT_MILLIS = 1_000;

  /** Instances that follow the journal; two, so that the loss of one zone leaves one. */
  private static final int STANDBYS = 2;

  private record Helper(
      PeerLink link, String address, String zone, boolean fit, long offeredAtMillis) {

    private Helper offeredAgain(boolean fitNow, long nowMillis) {
      return new Helper(link, address, zone, fitNow, nowMillis);
    }
  }

  private final PeerMessage.Hello self;
  private final AdviceClient own;
  private final PeerSettings settings;
  private final EventLoopGroup eventLoops;
  private final Executor loop;
  private final Supplier<PeerMessage.Heartbeat> heartbeat;
  private final LongSupplier nowMillis;
  private final Map<String, Helper> helpers = new HashMap<>();
  private final Set<String> standbys = new HashSet<>();
  private final Map<String, OptionalLong> suspectedAtMillis = new HashMap<>();
  private final Map<String, Long> heardAtMillis = new HashMap<>();

  /** Creates the pool of a coordinator. */
  public HelperPool(
      PeerMessage.Hello self,
      AdviceClient own,
      PeerSettings settings,
      EventLoopGroup eventLoops,
      Executor loop,
      Supplier<PeerMessage.Heartbeat> heartbeat,
      LongSupplier nowMillis) {
    this.self = self;
    this.own = own;
    this.settings = settings;
    this.eventLoops = eventLoops;
    this.loop = loop;
    this.heartbeat = heartbeat;
    this.nowMillis = nowMillis;
  }

  /**
   * Takes an offer of another instance.
   *
   * @param zone availability zone of that instance
   * @return whether it is to follow the journal as a standby
   */
  public boolean offered(PeerMessage.HelperOffer offer, String zone) {
    long now = nowMillis.getAsLong();
    Helper known = helpers.get(offer.instanceId());
    if (known != null && known.address().equals(offer.address())) {
      helpers.put(offer.instanceId(), known.offeredAgain(offer.fit(), now));
    } else {
      if (known != null) {
        known.link().stop();
      }
      helpers.put(
          offer.instanceId(),
          new Helper(open(offer.address()), offer.address(), zone, offer.fit(), now));
    }
    heard(offer.instanceId());
    chooseStandbys();
    return standbys.contains(offer.instanceId());
  }

  /** Takes a heartbeat of an instance. */
  public void heard(String instanceId) {
    heardAtMillis.put(instanceId, nowMillis.getAsLong());
  }

  private boolean isReachable(String instanceId, Helper helper) {
    return helper.link().isConnected() && reachableWithinHeartbeats(instanceId);
  }

  /** Returns whether an instance was heard within the time of its heartbeats. */
  boolean reachableWithinHeartbeats(String instanceId) {
    Long heardAt = heardAtMillis.get(instanceId);
    return heardAt != null && nowMillis.getAsLong() - heardAt <= HEARD_MILLIS;
  }

  private PeerLink open(String address) {
    PeerLink link =
        new PeerLink(
            PeerAddress.parse(address), settings, self, heartbeat, ignored -> {}, eventLoops);
    link.start();
    return link;
  }

  /** Chooses fit instances of zones other than this one's and each other's, as far as there are. */
  private void chooseStandbys() {
    standbys.removeIf(id -> !helpers.containsKey(id) || !helpers.get(id).fit());
    Set<String> zones = new HashSet<>();
    zones.add(self.zone());
    standbys.forEach(id -> zones.add(helpers.get(id).zone()));
    helpers.forEach(
        (id, helper) -> {
          if (standbys.size() < STANDBYS && helper.fit() && zones.add(helper.zone())) {
            standbys.add(id);
          }
        });
  }

  /** Returns the instances that can be asked now: their offer is recent and they are connected. */
  public Set<String> ids() {
    long now = nowMillis.getAsLong();
    Set<String> ids = new HashSet<>();
    ids.add(self.instanceId());
    helpers
        .entrySet()
        .removeIf(
            entry -> {
              boolean lapsed = now - entry.getValue().offeredAtMillis() > OFFER_VALID_MILLIS;
              if (lapsed) {
                suspectedAtMillis.remove(entry.getKey());
                heardAtMillis.remove(entry.getKey());
                entry.getValue().link().stop();
              } else if (isReachable(entry.getKey(), entry.getValue())) {
                ids.add(entry.getKey());
              }
              return lapsed;
            });
    return ids;
  }

  @Override
  public Optional<String> relayFor(String workerId, String zone) {
    long now = nowMillis.getAsLong();
    String best = null;
    int bestRank = 0;
    for (Map.Entry<String, Helper> entry : helpers.entrySet()) {
      Helper helper = entry.getValue();
      boolean able = helper.zone().equals(zone) && isReachable(entry.getKey(), helper);
      OptionalLong suspectedAt =
          suspectedAtMillis.getOrDefault(entry.getKey(), OptionalLong.empty());
      if (able && !ElapsedTime.within(suspectedAt, now, SUSPECT_MILLIS)) {
        int rank =
            FreeCapacityTree.scrambleHash(31 * workerId.hashCode() + entry.getKey().hashCode());
        if (best == null || rank > bestRank) {
          best = entry.getKey();
          bestRank = rank;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  @Override
  public void suspect(String instanceId) {
    suspectedAtMillis.put(instanceId, OptionalLong.of(nowMillis.getAsLong()));
  }

  @Override
  public CompletableFuture<PeerMessage> relay(String instanceId, PeerMessage.OrderRequest order) {
    Helper helper = helpers.get(instanceId);
    return helper == null
        ? CompletableFuture.failedFuture(
            new IllegalStateException("instance " + instanceId + " no longer offers help"))
        : helper.link().sendRequest(order);
  }

  /** Asks for advice through an instance. */
  public CompletableFuture<AdviceClient.Advice> ask(
      String instanceId, String step, List<String> workerIds, long timeoutMillis) {
    if (instanceId.equals(self.instanceId())) {
      return own.requestAdvice(step, workerIds, timeoutMillis);
    }
    Helper helper = helpers.get(instanceId);
    if (helper == null) {
      return CompletableFuture.failedFuture(
          new IllegalStateException("instance " + instanceId + " no longer offers help"));
    }
    CompletableFuture<AdviceClient.Advice> result = new CompletableFuture<>();
    helper
        .link()
        .sendRequest(new PeerMessage.AdviceRequest(step, workerIds, timeoutMillis), timeoutMillis)
        .whenCompleteAsync((answer, failure) -> complete(result, answer, failure), loop);
    return result;
  }

  private static void complete(
      CompletableFuture<AdviceClient.Advice> result, PeerMessage answer, Throwable failure) {
    if (answer instanceof PeerMessage.AdviceAnswer advice) {
      result.complete(new AdviceClient.Advice(advice.tickets(), advice.validMillis()));
    } else {
      result.completeExceptionally(
          failure != null ? failure : new IllegalStateException("refused: " + answer));
    }
  }

  /** Answers another instance's request by a call from this one. */
  static CompletableFuture<PeerMessage> answer(
      AdviceClient service, PeerMessage.AdviceRequest request) {
    return service
        .requestAdvice(request.step(), request.workerIds(), request.timeoutMillis())
        .thenApply(
            advice -> new PeerMessage.AdviceAnswer(advice.ticketByWorker(), advice.validMillis()));
  }

  /** Closes the links. */
  public void stop() {
    helpers.values().forEach(helper -> helper.link().stop());
    helpers.clear();
  }
}
