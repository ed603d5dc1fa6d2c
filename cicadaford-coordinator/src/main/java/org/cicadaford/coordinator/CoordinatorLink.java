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

/** Connects an instance to the announced coordinator on another instance. */
final class CoordinatorLink {

  /** Timeout of a forwarded request, in milliseconds; the sender times out earlier. */
  private static final long FORWARD_TIMEOUT_MILLIS = 5_000;

  /**
   * Time without an answer after which nothing is sent to the coordinator, in milliseconds: three
   * heartbeats. The outcome of requests sent into a network partition would be unknown to their
   * callers.
   */
  private static final long RESPONSE_TIMEOUT_MILLIS = 450;

  /** Interval between offers to help the coordinator, in milliseconds. */
  private static final long OFFER_INTERVAL_MILLIS = 800;

  private static final Logger LOGGER = LogManager.getLogger(CoordinatorLink.class);

  private final PeerMessage.Hello self;
  private final String ownAddress;
  private final boolean hasCoordinatorResources;
  private final Supplier<PeerMessage.Heartbeat> heartbeat;
  private final Consumer<PeerMessage.HelperAnswer> onOfferAnswer;
  private final EventLoop loop;
  private PeerLink link;
  private OptionalLong nextOfferMillis = OptionalLong.empty();

  /**
   * Creates the link.
   *
   * @param hasCoordinatorResources whether this instance has the resources of a coordinator
   * @param onOfferAnswer receives the answers to offers of help
   */
  CoordinatorLink(
      PeerMessage.Hello self,
      String ownAddress,
      boolean hasCoordinatorResources,
      Supplier<PeerMessage.Heartbeat> heartbeat,
      Consumer<PeerMessage.HelperAnswer> onOfferAnswer,
      EventLoop loop) {
    this.self = self;
    this.ownAddress = ownAddress;
    this.hasCoordinatorResources = hasCoordinatorResources;
    this.onOfferAnswer = onOfferAnswer;
    this.heartbeat = heartbeat;
    this.loop = loop;
  }

  /** Connects to another coordinator; {@code onHeartbeat} receives its heartbeats. */
  void open(String address, Consumer<PeerMessage.Heartbeat> onHeartbeat) {
    close();
    link =
        new PeerLink(
            PeerAddress.parse(address),
            CellSettings.PEER_LINK_SETTINGS,
            self,
            heartbeat,
            onHeartbeat,
            loop);
    link.start();
    nextOfferMillis = OptionalLong.empty();
  }

  void close() {
    if (link != null) {
      link.stop();
      link = null;
    }
  }

  /** Returns whether the coordinator is connected and has answered recently. */
  boolean isResponsive() {
    return link != null
        && link.isConnected()
        && link.millisSinceLastAnswer(System.nanoTime()) <= RESPONSE_TIMEOUT_MILLIS;
  }

  /** Returns whether the coordinator is another instance that is not connected. */
  boolean isDisconnected() {
    return link != null && !link.isConnected();
  }

  /** Returns whether the coordinator's address refuses connections. */
  boolean isRefused() {
    return link != null && link.isConnectionRefused();
  }

  /**
   * Forwards a request, or returns null without sending it if the coordinator is not responsive.
   */
  CompletableFuture<CellReply> forward(PeerMessage message) {
    return isResponsive()
        ? link.sendRequest(message, FORWARD_TIMEOUT_MILLIS).thenApply(CellReply::of)
        : null;
  }

  /** Requests an immediate heartbeat from the coordinator. */
  void probe() {
    if (link != null) {
      link.sendHeartbeat();
    }
  }

  /** Offers help to the coordinator at a fixed interval. */
  void offerHelp(long nowMillis) {
    if (!isResponsive() || ElapsedTime.isFuture(nextOfferMillis, nowMillis)) {
      return;
    }
    nextOfferMillis = OptionalLong.of(nowMillis + OFFER_INTERVAL_MILLIS);
    link.sendRequest(
            new PeerMessage.HelperOffer(self.instanceId(), ownAddress, hasCoordinatorResources),
            OFFER_INTERVAL_MILLIS)
        .thenAcceptAsync(this::handleOfferAnswer, loop)
        .exceptionally(
            failure -> {
              // The link detects an unresponsive coordinator, and the offer is repeated.
              LOGGER.debug("the offer of help was not answered", failure);
              return null;
            });
  }

  private void handleOfferAnswer(PeerMessage answer) {
    if (answer instanceof PeerMessage.HelperAnswer helperAnswer) {
      onOfferAnswer.accept(helperAnswer);
    }
  }
}
