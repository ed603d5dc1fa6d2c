package org.cicadaford.entry.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.stream.LongStream;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import org.cicadaford.model.Resources;
import org.cicadaford.platform.Member;
import org.cicadaford.wire.PeerException;
import org.cicadaford.wire.PeerMessage;
import org.cicadaford.wire.PeerMessage.ConfigRecordsAnswer;
import org.cicadaford.wire.PeerMessage.HandOver;
import org.cicadaford.wire.PeerMessage.Heartbeat;
import org.cicadaford.wire.PeerSettings;

/** Guards against a zone cut off from the log that gets no updates from its peers. */
class PeerServiceTest {

  private static final EventLoopGroup EVENT_LOOPS =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private static final PeerSettings SETTINGS = new PeerSettings(4_096, 20, 400, 1_000, 8);
  private static final long DRIFT_MILLIS = 500;
  private static final long LOG_CONFIRMED_AT_MILLIS = 9_000;

  @AfterContainer
  static void stopEventLoops() {
    EVENT_LOOPS.shutdownGracefully();
  }

  @Example
  void disconnectedDaemonGetsRecordsAndConfirmationFromItsPeer() throws Exception {
    VersionOnlyHandler connected = new VersionOnlyHandler("a", 7, LOG_CONFIRMED_AT_MILLIS);
    VersionOnlyHandler disconnected = new VersionOnlyHandler("b", 3, 0);
    PeerService first = service("a", connected);
    PeerService second = service("b", disconnected);
    first.start();
    second.start();

    second.updatePeers(List.of(member("a", first.port()), member("b", second.port())));

    awaitTrue(() -> disconnected.version.get() == 7 && disconnected.confirmedAtMillis.get() > 0);
    assertThat(disconnected.confirmedAtMillis.get())
        .isEqualTo(LOG_CONFIRMED_AT_MILLIS - DRIFT_MILLIS);
    second.stop();
    first.stop();
  }

  @Example
  void handOverIsDeliveredToThePeersOfTheZone() throws Exception {
    VersionOnlyHandler leaving = new VersionOnlyHandler("a", 1, 1);
    VersionOnlyHandler staying = new VersionOnlyHandler("b", 1, 1);
    PeerService first = service("a", leaving);
    PeerService second = service("b", staying);
    first.start();
    second.start();
    first.updatePeers(List.of(member("b", second.port())));
    HandOver handOver = new HandOver("zone", 5, Map.of("worker", 77L));

    awaitTrue(
        () -> {
          first.sendHandOver(handOver).join();
          return staying.handOver.get() != null;
        });

    assertThat(staying.handOver.get()).isEqualTo(handOver);
    first.stop();
    second.stop();
  }

  private static PeerService service(String id, VersionOnlyHandler messageHandler)
      throws PeerException {
    return new PeerService(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        SETTINGS,
        new PeerMessage.Hello(id, "zone"),
        DRIFT_MILLIS,
        messageHandler,
        EVENT_LOOPS);
  }

  private static Member member(String id, int peerPort) {
    return new Member(
        id,
        Member.Role.ENTRY,
        "zone",
        "rack",
        "127.0.0.1",
        1,
        peerPort,
        "",
        Resources.NONE,
        Member.State.LIVE);
  }

  private static void awaitTrue(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      Thread.sleep(5);
    }
  }

  /** Stands for a daemon whose configuration is only a version number. */
  private static final class VersionOnlyHandler implements PeerMessageHandler {

    private final String id;
    private final AtomicLong version;
    private final AtomicLong confirmedAtMillis;
    private final AtomicReference<HandOver> handOver = new AtomicReference<>();

    VersionOnlyHandler(String id, long version, long confirmedAtMillis) {
      this.id = id;
      this.version = new AtomicLong(version);
      this.confirmedAtMillis = new AtomicLong(confirmedAtMillis);
    }

    @Override
    public Heartbeat heartbeat() {
      return new Heartbeat(id, "zone", 1, false, version.get(), confirmedAtMillis.get());
    }

    @Override
    public ConfigRecordsAnswer readConfigRecords(long fromOffset) {
      List<byte[]> records =
          LongStream.rangeClosed(fromOffset, version.get())
              .mapToObj(offset -> new byte[] {(byte) offset})
              .toList();
      return new ConfigRecordsAnswer(new byte[0], fromOffset, records, confirmedAtMillis.get());
    }

    @Override
    public void applyConfigRecords(ConfigRecordsAnswer records) {
      version.set(records.firstOffset() + records.records().size() - 1);
    }

    @Override
    public void onConfigConfirmed(long confirmedVersion, long atMillis) {
      if (confirmedVersion <= version.get()) {
        confirmedAtMillis.accumulateAndGet(atMillis, Math::max);
      }
    }

    @Override
    public void onHandOver(HandOver received) {
      handOver.set(received);
    }

    @Override
    public CompletableFuture<byte[]> jobStatus(String jobId) {
      return CompletableFuture.completedFuture(new byte[0]);
    }

    @Override
    public void onHeartbeat(Heartbeat heartbeat) {}
  }
}
