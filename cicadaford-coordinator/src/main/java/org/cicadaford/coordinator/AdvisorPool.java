package org.cicadaford.coordinator;

import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cicadaford.wire.PeerLink;
import org.cicadaford.wire.PeerMessage;
import org.cicadaford.wire.PeerSettings;

/** Instances that have offered to call the advice service, this one included. */
public final class AdvisorPool {

  /** Time without an offer after which an instance is no longer asked, in milliseconds. */
  private static final long OFFER_VALID_MILLIS = 2_500;

  private record Advisor(PeerLink link, String address, long offeredAtMillis) {}

  private final PeerMessage.Hello self;
  private final AdviceService own;
  private final PeerSettings settings;
  private final EventLoopGroup eventLoops;
  private final Executor loop;
  private final Supplier<PeerMessage.Heartbeat> heartbeat;
  private final LongSupplier nowMillis;
  private final Map<String, Advisor> advisors = new HashMap<>();

  /** Creates the pool of a coordinator. */
  public AdvisorPool(
      PeerMessage.Hello self,
      AdviceService own,
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

  /** Takes an offer of another instance. */
  public void offered(PeerMessage.AdvisorOffer offer) {
    long now = nowMillis.getAsLong();
    Advisor known = advisors.get(offer.instanceId());
    if (known != null && known.address().equals(offer.address())) {
      advisors.put(offer.instanceId(), new Advisor(known.link(), known.address(), now));
      return;
    }
    if (known != null) {
      known.link().stop();
    }
    PeerLink link =
        new PeerLink(
            PeerAddress.parse(offer.address()),
            settings,
            self,
            heartbeat,
            ignored -> {},
            eventLoops);
    link.start();
    advisors.put(offer.instanceId(), new Advisor(link, offer.address(), now));
  }

  /** Returns the instances that can be asked now: their offer is recent and they are connected. */
  public Set<String> ids() {
    long now = nowMillis.getAsLong();
    Set<String> ids = new HashSet<>();
    ids.add(self.instanceId());
    advisors
        .entrySet()
        .removeIf(
            entry -> {
              boolean lapsed = now - entry.getValue().offeredAtMillis() > OFFER_VALID_MILLIS;
              if (lapsed) {
                entry.getValue().link().stop();
              } else if (entry.getValue().link().isConnected()) {
                ids.add(entry.getKey());
              }
              return lapsed;
            });
    return ids;
  }

  /** Asks for advice through an instance. */
  public CompletableFuture<AdviceService.Advice> ask(
      String instanceId, String step, List<String> workerIds, long timeoutMillis) {
    if (instanceId.equals(self.instanceId())) {
      return own.ask(step, workerIds, timeoutMillis);
    }
    Advisor advisor = advisors.get(instanceId);
    if (advisor == null) {
      return CompletableFuture.failedFuture(
          new IllegalStateException("instance " + instanceId + " no longer offers advice"));
    }
    CompletableFuture<AdviceService.Advice> result = new CompletableFuture<>();
    advisor
        .link()
        .ask(new PeerMessage.AdviceRequest(step, workerIds, timeoutMillis), timeoutMillis)
        .whenCompleteAsync((answer, failure) -> complete(result, answer, failure), loop);
    return result;
  }

  private static void complete(
      CompletableFuture<AdviceService.Advice> result, PeerMessage answer, Throwable failure) {
    if (answer instanceof PeerMessage.AdviceAnswer advice) {
      result.complete(new AdviceService.Advice(advice.tickets(), advice.validMillis()));
    } else {
      result.completeExceptionally(
          failure != null ? failure : new IllegalStateException("refused: " + answer));
    }
  }

  /** Answers another instance's request by a call from this one. */
  static CompletableFuture<PeerMessage> answer(
      AdviceService service, PeerMessage.AdviceRequest request) {
    return service
        .ask(request.step(), request.workerIds(), request.timeoutMillis())
        .thenApply(
            advice -> new PeerMessage.AdviceAnswer(advice.ticketByWorker(), advice.validMillis()));
  }

  /** Closes the links. */
  public void stop() {
    advisors.values().forEach(advisor -> advisor.link().stop());
    advisors.clear();
  }
}
