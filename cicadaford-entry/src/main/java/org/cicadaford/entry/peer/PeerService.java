package org.cicadaford.entry.peer;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.platform.Member;
import org.cicadaford.wire.PeerException;
import org.cicadaford.wire.PeerHandler;
import org.cicadaford.wire.PeerLink;
import org.cicadaford.wire.PeerMessage;
import org.cicadaford.wire.PeerMessage.ConfigRecordsAnswer;
import org.cicadaford.wire.PeerMessage.ConfigRecordsRequest;
import org.cicadaford.wire.PeerMessage.HandOver;
import org.cicadaford.wire.PeerMessage.Heartbeat;
import org.cicadaford.wire.PeerMessage.JobStatusAnswer;
import org.cicadaford.wire.PeerMessage.JobStatusRequest;
import org.cicadaford.wire.PeerMessage.Refusal;
import org.cicadaford.wire.PeerServer;
import org.cicadaford.wire.PeerSettings;

/**
 * Maintains the links of this daemon to its peers.
 *
 * <p>A newer configuration is requested from any peer that has it, so a zone cut off from the log
 * still receives it through another zone.
 */
public final class PeerService {

  private static final long REQUEST_TIMEOUT_MILLIS = 1_000;

  /**
   * Factor of the heartbeat interval for other zones. Heartbeats between zones only propagate the
   * configuration, while those within a zone show that its owner is alive.
   */
  private static final int REMOTE_ZONE_HEARTBEAT_FACTOR = 2;

  private final PeerSettings settings;
  private final PeerMessage.Hello self;
  private final long clockDriftMillis;
  private final PeerMessageHandler messageHandler;
  private final EventLoopGroup eventLoops;
  private final PeerServer server;
  private final Map<String, LinkedPeer> linkedPeersByInstance = new HashMap<>();
  private boolean stopped;

  private record LinkedPeer(Member member, PeerLink link) {}

  /** Creates the service; {@code eventLoops} is owned by the caller. */
  public PeerService(
      InetSocketAddress bindAddress,
      PeerSettings settings,
      PeerMessage.Hello self,
      long clockDriftMillis,
      PeerMessageHandler messageHandler,
      EventLoopGroup eventLoops) {
    this.settings = settings;
    this.self = self;
    this.clockDriftMillis = clockDriftMillis;
    this.messageHandler = messageHandler;
    this.eventLoops = eventLoops;
    PeerHandler handler = (peer, message) -> handleMessage(message);
    this.server = new PeerServer(bindAddress, settings, self, handler, eventLoops);
  }

  /**
   * Starts to accept links.
   *
   * @throws PeerException if the address cannot be bound
   */
  public void start() throws PeerException {
    server.start();
  }

  /** Closes all links. */
  public void stop() {
    synchronized (this) {
      stopped = true;
      linkedPeersByInstance.values().forEach(linkedPeer -> linkedPeer.link().stop());
      linkedPeersByInstance.clear();
    }
    // Called outside the monitor, because it waits for the event loop, on which updatePeers may be
    // blocked on the monitor.
    server.stop();
  }

  /** Returns the port that peers connect to. */
  public int port() {
    return server.port();
  }

  /** Opens and closes links to match the membership list. */
  public synchronized void updatePeers(List<Member> members) {
    if (stopped) {
      return;
    }
    Map<String, Member> selected = new HashMap<>();
    PeerSelector.select(members, self.instanceId(), self.zone())
        .forEach(peer -> selected.put(peer.instanceId(), peer));
    closeUnselected(selected);
    selected.values().stream()
        .filter(peer -> !linkedPeersByInstance.containsKey(peer.instanceId()))
        .forEach(this::open);
  }

  private void closeUnselected(Map<String, Member> selected) {
    Iterator<Map.Entry<String, LinkedPeer>> linkedPeers =
        linkedPeersByInstance.entrySet().iterator();
    while (linkedPeers.hasNext()) {
      Map.Entry<String, LinkedPeer> entry = linkedPeers.next();
      Member peer = selected.get(entry.getKey());
      if (peer == null || !sameAddress(peer, entry.getValue().member())) {
        entry.getValue().link().stop();
        linkedPeers.remove();
      }
    }
  }

  private static boolean sameAddress(Member a, Member b) {
    return a.host().equals(b.host()) && a.peerPort() == b.peerPort();
  }

  private void open(Member peer) {
    boolean ownZone = peer.zone().equals(self.zone());
    PeerLink link =
        new PeerLink(
            new InetSocketAddress(peer.host(), peer.peerPort()),
            ownZone
                ? settings
                : settings.withHeartbeatInterval(
                    settings.heartbeatIntervalMillis() * REMOTE_ZONE_HEARTBEAT_FACTOR),
            self,
            messageHandler::heartbeat,
            heartbeat -> onPeerHeartbeat(peer.instanceId(), heartbeat),
            eventLoops);
    linkedPeersByInstance.put(peer.instanceId(), new LinkedPeer(peer, link));
    link.start();
  }

  private void onPeerHeartbeat(String instanceId, Heartbeat heartbeat) {
    messageHandler.onHeartbeat(heartbeat);
    long ownVersion = messageHandler.heartbeat().configVersion();
    if (heartbeat.configVersion() > ownVersion) {
      sendRequest(instanceId, new ConfigRecordsRequest(ownVersion + 1))
          .thenAccept(this::applyConfigAnswer);
    } else {
      confirmConfig(heartbeat.configVersion(), heartbeat.configConfirmedAtMillis());
    }
  }

  private void applyConfigAnswer(PeerMessage answer) {
    if (answer instanceof ConfigRecordsAnswer records) {
      messageHandler.applyConfigRecords(records);
    }
  }

  private void confirmConfig(long version, long confirmedAtMillis) {
    messageHandler.onConfigConfirmed(version, confirmedAtMillis - clockDriftMillis);
  }

  private CompletableFuture<PeerMessage> handleMessage(PeerMessage message) {
    return switch (message) {
      case JobStatusRequest request ->
          messageHandler
              .jobStatus(request.jobId())
              .thenApply(content -> new JobStatusAnswer(request.jobId(), content));
      case Heartbeat heartbeat -> {
        messageHandler.onHeartbeat(heartbeat);
        yield CompletableFuture.completedFuture(messageHandler.heartbeat());
      }
      case ConfigRecordsRequest request ->
          CompletableFuture.completedFuture(messageHandler.readConfigRecords(request.fromOffset()));
      case HandOver handOver -> {
        messageHandler.onHandOver(handOver);
        yield CompletableFuture.completedFuture(messageHandler.heartbeat());
      }
      case PeerMessage.Hello hello -> CompletableFuture.completedFuture(self);
      case ConfigRecordsAnswer unexpected -> refusal();
      case JobStatusAnswer unexpected -> refusal();
      case PeerMessage.CellMessage unexpected -> refusal();
      case Refusal unexpected -> refusal();
    };
  }

  private static CompletableFuture<PeerMessage> refusal() {
    return CompletableFuture.completedFuture(
        new Refusal("expected a request, but received an answer or an unsupported message"));
  }

  /** Sends the last leases granted by this daemon to all linked peers of its zone. */
  public synchronized CompletableFuture<Void> sendHandOver(HandOver handOver) {
    CompletableFuture<?>[] answers =
        linkedPeersByInstance.values().stream()
            .filter(linkedPeer -> linkedPeer.member().zone().equals(self.zone()))
            .map(
                linkedPeer ->
                    linkedPeer
                        .link()
                        .sendRequest(handOver, REQUEST_TIMEOUT_MILLIS)
                        .exceptionally(e -> null))
            .toArray(CompletableFuture<?>[]::new);
    return CompletableFuture.allOf(answers);
  }

  /**
   * Requests the state of a job from a peer of {@code zone}; the answer completes exceptionally
   * with {@link PeerException} if no such peer is linked or its connection fails.
   */
  public CompletableFuture<byte[]> jobStatus(String zone, String jobId) {
    return sendRequest(mostRecentlyHeardPeer(zone), new JobStatusRequest(jobId))
        .thenApply(
            answer -> answer instanceof JobStatusAnswer status ? status.content() : new byte[0]);
  }

  private synchronized String mostRecentlyHeardPeer(String zone) {
    return linkedPeersByInstance.values().stream()
        .filter(linkedPeer -> linkedPeer.member().zone().equals(zone))
        .min(
            (a, b) ->
                Long.compare(
                    a.link().millisSinceLastAnswer(System.nanoTime()),
                    b.link().millisSinceLastAnswer(System.nanoTime())))
        .map(linkedPeer -> linkedPeer.member().instanceId())
        .orElse("");
  }

  private CompletableFuture<PeerMessage> sendRequest(String instanceId, PeerMessage message) {
    LinkedPeer linkedPeer;
    synchronized (this) {
      linkedPeer = linkedPeersByInstance.get(instanceId);
    }
    if (linkedPeer == null) {
      return CompletableFuture.failedFuture(
          new PeerException(
              "no peer is linked; wait until the membership list contains one", null));
    }
    return linkedPeer.link().sendRequest(message, REQUEST_TIMEOUT_MILLIS);
  }
}
