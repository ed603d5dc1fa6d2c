package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import org.cicadaford.wire.PeerMessage;

/** Tests which helpers the coordinator uses and chooses as standbys. */
class HelperPoolTest {

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private long nowMillis = 1_000;

  private HelperPool pool() {
    return new HelperPool(
        new PeerMessage.Hello("e0", "north"),
        (step, workers, timeout) -> new CompletableFuture<>(),
        CellSettings.HELPER_LINK_SETTINGS,
        channel.eventLoop(),
        channel.eventLoop(),
        () -> null,
        () -> nowMillis);
  }

  private static PeerMessage.HelperOffer offer(String id, boolean hasCoordinatorResources) {
    return new PeerMessage.HelperOffer(id, "127.0.0.1:1", hasCoordinatorResources);
  }

  /** Guards against standbys that fail together with the coordinator's zone. */
  @Example
  void standbysHaveResourcesAndAreInOtherZones() {
    HelperPool pool = pool();
    assertThat(pool.registerOffer(offer("e1", true), "north")).isFalse();
    assertThat(pool.registerOffer(offer("e2", false), "south")).isFalse();
    assertThat(pool.registerOffer(offer("e3", true), "south")).isTrue();
    assertThat(pool.registerOffer(offer("e4", true), "south")).isFalse();
    assertThat(pool.registerOffer(offer("e5", true), "west")).isTrue();
    assertThat(pool.registerOffer(offer("e6", true), "east")).isFalse();
    assertThat(pool.registerOffer(offer("e3", true), "south")).isTrue();
  }

  /**
   * Guards against advice requests to a partitioned instance. With one of five zones partitioned,
   * urgent jobs of the other zones waited a second.
   */
  @Example
  void instanceWithoutHeartbeatIsNotUsed() {
    HelperPool pool = pool();
    pool.registerOffer(offer("e3", true), "south");
    assertThat(pool.isHeardRecently("e3")).isTrue();
    nowMillis += 401;
    assertThat(pool.isHeardRecently("e3")).isFalse();
    pool.recordHeartbeat("e3");
    assertThat(pool.isHeardRecently("e3")).isTrue();
  }

  /** Guards against not replacing a standby that has disappeared. */
  @Example
  void standbyWithoutAnOfferIsReplaced() {
    HelperPool pool = pool();
    assertThat(pool.registerOffer(offer("e3", true), "south")).isTrue();
    assertThat(pool.registerOffer(offer("e4", true), "south")).isFalse();
    nowMillis += 2_000;
    pool.registerOffer(offer("e4", true), "south");
    nowMillis += 1_000;
    pool.reachableInstanceIds();
    assertThat(pool.registerOffer(offer("e4", true), "south")).isTrue();
  }
}
