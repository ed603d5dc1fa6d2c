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

/** Tracks the instances that offered to help the coordinator, including this one. */
public final class HelperPool implements RelayPool {

  /** Time after which an offer expires, in milliseconds. */
  private static final long OFFER_TTL_MILLIS = 2_500;

  /**
   * Time without a heartbeat after which an instance is not used, in milliseconds: two heartbeats
   * and a margin. Requests to an instance behind a network partition are answered only when the
   * partition ends.
   */
  private static final long HEARTBEAT_TIMEOUT_MILLIS = 400;

  /** Time for which an unresponsive relay receives no orders, in milliseconds. */
  private static final long UNRESPONSIVE_BACKOFF_MILLIS = 1_000;

  /**
   * Number of standbys, which follow the journal; two, so that one remains after the loss of a
   * zone.
   */
  private static final int STANDBY_COUNT = 2;

  private record Helper(
      PeerLink link,
      String address,
      String zone,
      boolean hasCoordinatorResources,
      long offeredAtMillis) {

    private Helper withOffer(boolean sufficientResources, long nowMillis) {
      return new Helper(link, address, zone, sufficientResources, nowMillis);
    }
  }

  private final PeerMessage.Hello self;
  private final AdviceClient localAdvice;
  private final PeerSettings settings;
  private final EventLoopGroup eventLoops;
  private final Executor loop;
  private final Supplier<PeerMessage.Heartbeat> heartbeat;
  private final LongSupplier nowMillis;
  private final Map<String, Helper> helpers = new HashMap<>();
  private final Set<String> standbys = new HashSet<>();
  private final Map<String, OptionalLong> unresponsiveAtMillis = new HashMap<>();
  private final Map<String, Long> heartbeatAtMillis = new HashMap<>();

  /** Creates the pool of a coordinator. */
  public HelperPool(
      PeerMessage.Hello self,
      AdviceClient localAdvice,
      PeerSettings settings,
      EventLoopGroup eventLoops,
      Executor loop,
      Supplier<PeerMessage.Heartbeat> heartbeat,
      LongSupplier nowMillis) {
    this.self = self;
    this.localAdvice = localAdvice;
    this.settings = settings;
    this.eventLoops = eventLoops;
    this.loop = loop;
    this.heartbeat = heartbeat;
    this.nowMillis = nowMillis;
  }

  /**
   * Registers an offer of another instance.
   *
   * @param zone availability zone of that instance
   * @return whether the instance is to follow the journal as a standby
   */
  public boolean registerOffer(PeerMessage.HelperOffer offer, String zone) {
    long now = nowMillis.getAsLong();
    Helper known = helpers.get(offer.instanceId());
    if (known != null && known.address().equals(offer.address())) {
      helpers.put(offer.instanceId(), known.withOffer(offer.fit(), now));
    } else {
      if (known != null) {
        known.link().stop();
      }
      helpers.put(
          offer.instanceId(),
          new Helper(open(offer.address()), offer.address(), zone, offer.fit(), now));
    }
    recordHeartbeat(offer.instanceId());
    chooseStandbys();
    return standbys.contains(offer.instanceId());
  }

  /** Records a heartbeat of an instance. */
  public void recordHeartbeat(String instanceId) {
    heartbeatAtMillis.put(instanceId, nowMillis.getAsLong());
  }

  private boolean isReachable(String instanceId, Helper helper) {
    return helper.link().isConnected() && isHeardRecently(instanceId);
  }

  /** Returns whether an instance has sent a heartbeat within the timeout. */
  boolean isHeardRecently(String instanceId) {
    Long heartbeatAt = heartbeatAtMillis.get(instanceId);
    return heartbeatAt != null && nowMillis.getAsLong() - heartbeatAt <= HEARTBEAT_TIMEOUT_MILLIS;
  }

  private PeerLink open(String address) {
    PeerLink link =
        new PeerLink(
            PeerAddress.parse(address), settings, self, heartbeat, ignored -> {}, eventLoops);
    link.start();
    return link;
  }

  /**
   * Chooses standbys with sufficient resources, each in a different zone than the coordinator and
   * the other standbys.
   */
  private void chooseStandbys() {
    standbys.removeIf(id -> !helpers.containsKey(id) || !helpers.get(id).hasCoordinatorResources());
    Set<String> zones = new HashSet<>();
    zones.add(self.zone());
    standbys.forEach(id -> zones.add(helpers.get(id).zone()));
    helpers.forEach(
        (id, helper) -> {
          if (standbys.size() < STANDBY_COUNT
              && helper.hasCoordinatorResources()
              && zones.add(helper.zone())) {
            standbys.add(id);
          }
        });
  }

  /** Removes expired offers and returns the reachable instances, including this one. */
  public Set<String> reachableInstanceIds() {
    long now = nowMillis.getAsLong();
    Set<String> reachable = new HashSet<>();
    reachable.add(self.instanceId());
    helpers
        .entrySet()
        .removeIf(
            entry -> {
              boolean expired = now - entry.getValue().offeredAtMillis() > OFFER_TTL_MILLIS;
              if (expired) {
                unresponsiveAtMillis.remove(entry.getKey());
                heartbeatAtMillis.remove(entry.getKey());
                entry.getValue().link().stop();
              } else if (isReachable(entry.getKey(), entry.getValue())) {
                reachable.add(entry.getKey());
              }
              return expired;
            });
    return reachable;
  }

  @Override
  public Optional<String> selectRelay(String workerId, String zone) {
    long now = nowMillis.getAsLong();
    String best = null;
    int bestRank = 0;
    for (Map.Entry<String, Helper> entry : helpers.entrySet()) {
      Helper helper = entry.getValue();
      boolean eligible = helper.zone().equals(zone) && isReachable(entry.getKey(), helper);
      OptionalLong unresponsiveAt =
          unresponsiveAtMillis.getOrDefault(entry.getKey(), OptionalLong.empty());
      if (eligible && !ElapsedTime.within(unresponsiveAt, now, UNRESPONSIVE_BACKOFF_MILLIS)) {
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
  public void markUnresponsive(String instanceId) {
    unresponsiveAtMillis.put(instanceId, OptionalLong.of(nowMillis.getAsLong()));
  }

  @Override
  public CompletableFuture<PeerMessage> relay(String instanceId, PeerMessage.OrderRequest order) {
    Helper helper = helpers.get(instanceId);
    return helper == null
        ? CompletableFuture.failedFuture(
            new IllegalStateException("instance " + instanceId + " is no longer a helper"))
        : helper.link().sendRequest(order);
  }

  /** Requests advice through an instance. */
  public CompletableFuture<AdviceClient.Advice> requestAdvice(
      String instanceId, String step, List<String> workerIds, long timeoutMillis) {
    if (instanceId.equals(self.instanceId())) {
      return localAdvice.requestAdvice(step, workerIds, timeoutMillis);
    }
    Helper helper = helpers.get(instanceId);
    if (helper == null) {
      return CompletableFuture.failedFuture(
          new IllegalStateException("instance " + instanceId + " is no longer a helper"));
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
    if (answer instanceof PeerMessage.AdviceAnswer advice && advice.tickets() != null) {
      result.complete(new AdviceClient.Advice(advice.tickets(), advice.validMillis()));
    } else {
      result.completeExceptionally(
          failure != null
              ? failure
              : new IllegalStateException("advice request refused: " + answer));
    }
  }

  /** Answers another instance's advice request by calling the local client. */
  static CompletableFuture<PeerMessage> answerAdviceRequest(
      AdviceClient client, PeerMessage.AdviceRequest request) {
    return client
        .requestAdvice(request.step(), request.workerIds(), request.timeoutMillis())
        .thenApply(
            advice -> new PeerMessage.AdviceAnswer(advice.ticketByWorker(), advice.validMillis()));
  }

  /** Closes the links to all helpers. */
  public void stop() {
    helpers.values().forEach(helper -> helper.link().stop());
    helpers.clear();
  }
}
