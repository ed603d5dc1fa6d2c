package org.cicadaford.coordinator;

import io.netty.channel.EventLoop;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.cell.ElapsedTime;
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

  /** Time between two offers to help the coordinator, in milliseconds. */
  private static final long OFFER_MILLIS = 800;

  private static final Logger LOGGER = LogManager.getLogger(CoordinatorLink.class);

  private final PeerMessage.Hello self;
  private final String ownAddress;
  private final boolean fit;
  private final Supplier<PeerMessage.Heartbeat> heartbeat;
  private final Consumer<PeerMessage.HelperAnswer> answered;
  private final EventLoop loop;
  private PeerLink link;
  private OptionalLong nextOfferMillis = OptionalLong.empty();

  /**
   * Creates the link.
   *
   * @param fit whether this instance has the resources of a coordinator
   * @param answered takes the answers to offers of help
   */
  CoordinatorLink(
      PeerMessage.Hello self,
      String ownAddress,
      boolean fit,
      Supplier<PeerMessage.Heartbeat> heartbeat,
      Consumer<PeerMessage.HelperAnswer> answered,
      EventLoop loop) {
    this.self = self;
    this.ownAddress = ownAddress;
    this.fit = fit;
    this.answered = answered;
    this.heartbeat = heartbeat;
    this.loop = loop;
  }

  /** Connects to another coordinator; {@code heard} takes its heartbeats. */
  void open(String address, Consumer<PeerMessage.Heartbeat> heard) {
    close();
    link =
        new PeerLink(PeerAddress.parse(address), CellSettings.PEERS, self, heartbeat, heard, loop);
    link.start();
    nextOfferMillis = OptionalLong.empty();
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
        && link.millisSinceLastAnswer(System.nanoTime()) <= SILENT_MILLIS;
  }

  /** Returns whether there is a coordinator elsewhere that is not connected. */
  boolean lost() {
    return link != null && !link.isConnected();
  }

  /** Returns whether no process listens at the coordinator's address. */
  boolean refused() {
    return link != null && link.isConnectionRefused();
  }

  /** Forwards a request; returns null if there is no connection, so that nothing was sent. */
  CompletableFuture<CellReply> forward(PeerMessage message) {
    return connected() ? link.sendRequest(message, FORWARD_MILLIS).thenApply(CellReply::of) : null;
  }

  /** Asks the coordinator for a heartbeat at once. */
  void probe() {
    if (link != null) {
      link.sendHeartbeat();
    }
  }

  /** Offers from time to time to help the coordinator. */
  void offerHelp(long nowMillis) {
    if (!connected() || ElapsedTime.isFuture(nextOfferMillis, nowMillis)) {
      return;
    }
    nextOfferMillis = OptionalLong.of(nowMillis + OFFER_MILLIS);
    link.sendRequest(new PeerMessage.HelperOffer(self.instanceId(), ownAddress, fit), OFFER_MILLIS)
        .thenAcceptAsync(this::answered, loop)
        .exceptionally(
            failure -> {
              // The link itself notices a coordinator that does not answer; the offer is repeated.
              LOGGER.debug("an offer of help was not answered", failure);
              return null;
            });
  }

  private void answered(PeerMessage answer) {
    if (answer instanceof PeerMessage.HelperAnswer helperAnswer) {
      answered.accept(helperAnswer);
    }
  }
}
