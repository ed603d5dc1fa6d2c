package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import org.cicadaford.wire.PeerMessage;

/** Tests which helpers the coordinator names its standbys. */
class HelperPoolTest {

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private long nowMillis = 1_000;

  private HelperPool pool() {
    return new HelperPool(
        new PeerMessage.Hello("e0", "north"),
        (step, workers, timeout) -> new CompletableFuture<>(),
        CellSettings.ADVISERS,
        channel.eventLoop(),
        channel.eventLoop(),
        () -> null,
        () -> nowMillis);
  }

  private static PeerMessage.HelperOffer offer(String id, boolean fit) {
    return new PeerMessage.HelperOffer(id, "127.0.0.1:1", fit);
  }

  /** Guards against standbys that are lost together with the coordinator's zone. */
  @Example
  void standbysAreFitAndInOtherZones() {
    HelperPool pool = pool();
    assertThat(pool.offered(offer("e1", true), "north")).isFalse();
    assertThat(pool.offered(offer("e2", false), "south")).isFalse();
    assertThat(pool.offered(offer("e3", true), "south")).isTrue();
    assertThat(pool.offered(offer("e4", true), "south")).isFalse();
    assertThat(pool.offered(offer("e5", true), "west")).isTrue();
    assertThat(pool.offered(offer("e6", true), "east")).isFalse();
    assertThat(pool.offered(offer("e3", true), "south")).isTrue();
  }

  /**
   * Guards against calls for advice that wait for an instance behind a cut. Found on trouble-3 of
   * the large site: with one zone of five cut off, urgent jobs of the others waited a second.
   */
  @Example
  void instanceThatWasNotHeardGetsNothingToDo() {
    HelperPool pool = pool();
    pool.offered(offer("e3", true), "south");
    assertThat(pool.reachableWithinHeartbeats("e3")).isTrue();
    nowMillis += 401;
    assertThat(pool.reachableWithinHeartbeats("e3")).isFalse();
    pool.heard("e3");
    assertThat(pool.reachableWithinHeartbeats("e3")).isTrue();
  }

  /** Guards against a standby that is gone and is not replaced. */
  @Example
  void standbyWithoutAnOfferIsReplaced() {
    HelperPool pool = pool();
    assertThat(pool.offered(offer("e3", true), "south")).isTrue();
    assertThat(pool.offered(offer("e4", true), "south")).isFalse();
    nowMillis += 2_000;
    pool.offered(offer("e4", true), "south");
    nowMillis += 1_000;
    pool.ids();
    assertThat(pool.offered(offer("e4", true), "south")).isTrue();
  }
}
