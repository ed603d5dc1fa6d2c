package org.cicadaford.coordinator;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cicadaford.wire.PeerLink;
import org.cicadaford.wire.PeerMessage;

/** Connection of an instance to the announced coordinator, when that is another instance. */
final class CoordinatorLink {

  /** Time after which a forwarded request is given up; its sender gives up earlier. */
  private static final long FORWARD_MILLIS = 5_000;

  /**
   * Time without an answer after which nothing is sent to the coordinator, in milliseconds: three
   * heartbeats. Requests that go into a cut have no certain outcome for their callers.
   */
  private static final long SILENT_MILLIS = 450;

  /** Time between two offers to call the advice service, in milliseconds. */
  private static final long OFFER_MILLIS = 800;

  private final PeerMessage.Hello self;
  private final String ownAddress;
  private final Supplier<PeerMessage.Heartbeat> heartbeat;
  private final EventLoop loop;
  private PeerLink link;
  private long nextOfferMillis;

  CoordinatorLink(
      PeerMessage.Hello self,
      String ownAddress,
      Supplier<PeerMessage.Heartbeat> heartbeat,
      EventLoop loop) {
    this.self = self;
    this.ownAddress = ownAddress;
    this.heartbeat = heartbeat;
    this.loop = loop;
  }

  /** Connects to another coordinator; {@code heard} takes its heartbeats. */
  void open(String address, Consumer<PeerMessage.Heartbeat> heard) {
    close();
    link =
        new PeerLink(PeerAddress.parse(address), CellSettings.PEERS, self, heartbeat, heard, loop);
    link.start();
    nextOfferMillis = 0;
  }

  void close() {
    if (link != null) {
      link.stop();
      link = null;
    }
  }

  /** Returns whether the coordinator can be reached: it has answered just now. */
  boolean connected() {
    return link != null
        && link.isConnected()
        && link.silentMillis(System.nanoTime()) <= SILENT_MILLIS;
  }

  /** Returns whether there is a coordinator elsewhere that is not connected. */
  boolean lost() {
    return link != null && !link.isConnected();
  }

  /** Returns whether no process listens at the coordinator's address. */
  boolean refused() {
    return link != null && link.isRefused();
  }

  /** Forwards a request; returns null if there is no connection, so that nothing was sent. */
  CompletableFuture<CellReply> forward(PeerMessage message) {
    return connected() ? link.ask(message, FORWARD_MILLIS).thenApply(CellReply::of) : null;
  }

  /** Offers from time to time to call the advice service for the coordinator. */
  void offerAdvice(long nowMillis) {
    if (connected() && nowMillis >= nextOfferMillis) {
      nextOfferMillis = nowMillis + OFFER_MILLIS;
      link.ask(new PeerMessage.AdvisorOffer(self.instanceId(), ownAddress), OFFER_MILLIS);
    }
  }
}
