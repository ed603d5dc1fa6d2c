package org.cicadaford.cell.shares;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.cicadaford.model.Resources;

/** Tests when a service is short and when a team counts as beyond its share. */
class ServiceSharesTest {

  private static final Resources CAPACITY = new Resources(100_000, 100_000, 0);

  private final ServiceShares shares = new ServiceShares();

  private List<ShareChange> update(boolean waits, long largeUsed, long smallWaits, long nowMillis) {
    long smallUsed = 90_000 - largeUsed;
    return shares.update(
        waits,
        List.of(
            new TeamDemand("large", 1, cores(largeUsed), cores(50_000)),
            new TeamDemand("small", 1, cores(smallUsed), cores(smallWaits))),
        CAPACITY,
        nowMillis);
  }

  private static Resources cores(long millicores) {
    return new Resources(millicores, 0, 0);
  }

  /** Guards against a shortage that begins with a short wait or ends between two waits. */
  @Example
  void shortageBeginsAfterAWaitAndEndsAfterATimeWithoutOne() {
    assertThat(update(true, 80_000, 10_000, 0)).isEmpty();
    assertThat(update(false, 80_000, 10_000, 50)).isEmpty();
    assertThat(update(true, 80_000, 10_000, 75)).isEmpty();
    assertThat(update(true, 80_000, 10_000, 175)).hasSize(2);
    assertThat(shares.exceedsShare("large")).isTrue();
    assertThat(update(false, 80_000, 10_000, 1_100)).isEmpty();
    assertThat(update(false, 80_000, 10_000, 1_175))
        .containsExactly(new ShareChange.ShortageEnded(1_000));
    assertThat(shares.exceedsShare("large")).isFalse();
  }

  /** Guards against a team that counts as beyond its share or not by turns as its runs end. */
  @Example
  void teamThatWaitsForMoreReturnsBelowATenthUnderItsShare() {
    update(true, 80_000, 60_000, 0);
    update(true, 80_000, 60_000, 100);
    assertThat(shares.exceedsShare("large")).isTrue();
    List<ShareChange> changes = new ArrayList<>();
    for (long nowMillis = 125; nowMillis < 1_000; nowMillis += 25) {
      changes.addAll(update(true, nowMillis % 50 == 0 ? 46_000 : 44_000, 60_000, nowMillis));
    }
    // Only the other team exceeds its share once; it waits for more as well.
    assertThat(changes).containsExactly(new ShareChange.Standing("small", true, 46.0 / 90, 0.5, 1));
    assertThat(shares.exceedsShare("large")).isTrue();
    assertThat(update(true, 40_000, 60_000, 1_000)).hasSize(1);
    assertThat(shares.exceedsShare("large")).isFalse();
  }

  /** Guards against a changed order in a cell that is idle, where work waits for a label. */
  @Example
  void waitInAnIdleServiceIsNoShortage() {
    List<TeamDemand> demands = List.of(new TeamDemand("t", 1, cores(40_000), cores(50_000)));
    shares.update(true, demands, CAPACITY, 0);
    assertThat(shares.update(true, demands, CAPACITY, 10_000)).isEmpty();
    assertThat(shares.isShort()).isFalse();
  }
}
