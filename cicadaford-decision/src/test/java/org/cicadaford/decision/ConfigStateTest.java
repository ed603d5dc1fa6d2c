package org.cicadaford.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.ConfigRecord.AllotmentFence;
import org.cicadaford.model.TeamPolicy;

/**
 * Guards against a configuration that goes back to an older version or on which readers disagree.
 */
class ConfigStateTest {

  private static final long LIMIT_MILLICORES = 10_000;

  private static ConfigRecord record(SplittableRandom random, ConfigState state, long offset) {
    String zone = "zone-" + random.nextInt(2);
    String team = "team-" + random.nextInt(2);
    String key = "key-" + random.nextInt(6);
    long zoneBase = random.nextInt(3) > 0 ? state.zoneVersion(zone) : random.nextLong(offset + 1);
    long publishBase = random.nextInt(3) > 0 ? state.publishVersion() : random.nextLong(offset + 1);
    AllotmentFence fence = state.allotmentFence(zone).orElse(new AllotmentFence(0, 0));
    long epoch = Math.max(0, fence.epoch() + random.nextInt(3) - 1);
    long sequence = Math.max(0, fence.sequence() + random.nextInt(4) - 1);
    long millicores = random.nextInt(5_000) - 100;
    return switch (random.nextInt(8)) {
      case 0 -> new ConfigRecord.KeyGranted("r", key, team);
      case 1 -> new ConfigRecord.KeyWithdrawn("r", key);
      case 2 -> new ConfigRecord.ZoneTakenOut("r", zone, zoneBase);
      case 3 -> new ConfigRecord.ZoneBroughtIn("r", zone, zoneBase);
      case 4 -> {
        TeamPolicy policy = new TeamPolicy(team, 1, random.nextLong(LIMIT_MILLICORES));
        yield new ConfigRecord.ConfigPublished(
            "r",
            publishBase,
            List.of(),
            List.of(policy),
            List.of(),
            List.of(),
            List.of(),
            List.of());
      }
      case 5 -> new ConfigRecord.AllotmentReleased("r", zone, epoch, sequence, team, millicores);
      default -> new ConfigRecord.AllotmentTaken("r", zone, epoch, sequence, team, millicores);
    };
  }

  /**
   * Fails when readers that start late, load a peer's snapshot or read records twice disagree at
   * the same version, or when a reader goes back to an older version.
   */
  @Property(seed = "51", tries = 200, edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
  void readersAgreeAndNeverRevert(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ConfigState all = new ConfigState();
    ConfigState late = new ConfigState();
    ConfigState follower = new ConfigState();
    List<ConfigRecord> log = new ArrayList<>();
    int lateStart = random.nextInt(100);
    for (int offset = 0; offset < 200; offset++) {
      boolean snapshot = offset > 0 && random.nextInt(15) == 0;
      boolean stale = follower.isComplete() && random.nextInt(3) == 0;
      ConfigRecord record =
          snapshot ? (stale ? follower : all).snapshot("s") : record(random, all, offset);
      log.add(record);
      checkAccepted(all, offset, record);
      if (offset >= lateStart) {
        late.apply(offset, record);
      }
      if (random.nextInt(10) == 0) {
        follower.loadFromPeer(all.snapshot("peer"));
      }
      long version = follower.version();
      int from = random.nextInt(offset + 1);
      int to = Math.min(offset, from + random.nextInt(3));
      for (int next = from; next <= to && next <= follower.version() + 1; next++) {
        follower.apply(next, log.get(next));
      }
      assertThat(follower.version()).isGreaterThanOrEqualTo(version);
      if (late.isComplete()) {
        assertThat(late.snapshot("s")).isEqualTo(all.snapshot("s"));
      }
      if (follower.version() == all.version()) {
        assertThat(follower.snapshot("s")).isEqualTo(all.snapshot("s"));
      }
    }
  }

  /** Checks that no accepted record passes a fence, exceeds a limit or grants a withdrawn key. */
  private static void checkAccepted(ConfigState state, long offset, ConfigRecord record) {
    ConfigState before = state.copy();
    boolean accepted = state.apply(offset, record).isAccepted();
    if (accepted && record instanceof ConfigRecord.AllotmentTaken taken) {
      assertThat(state.freeMillicores(taken.team())).isNotNegative();
      before
          .allotmentFence(taken.zone())
          .ifPresent(
              fence ->
                  assertThat(
                          taken.epoch() > fence.epoch()
                              || taken.epoch() == fence.epoch()
                                  && taken.sequence() > fence.sequence())
                      .isTrue());
    }
    if (accepted && record instanceof ConfigRecord.KeyWithdrawn withdrawn) {
      ConfigRecord again = new ConfigRecord.KeyGranted("g", withdrawn.keyHash(), "team-0");
      assertThat(state.copy().apply(offset + 1, again).isAccepted()).isFalse();
      assertThat(state.teamOfKeyHash(withdrawn.keyHash())).isEmpty();
    }
    if (accepted && record instanceof ConfigRecord.ConfigPublished published) {
      assertThat(published.baseVersion()).isEqualTo(before.publishVersion());
    }
  }

  /**
   * Fails when an incomplete reader writes its part of the configuration as a complete snapshot.
   */
  @Example
  void incompleteReaderWritesNoSnapshot() {
    ConfigState state = new ConfigState();
    state.apply(7, new ConfigRecord.KeyGranted("r", "key", "team"));
    assertThatThrownBy(() -> state.snapshot("s")).isInstanceOf(IllegalStateException.class);
  }
}
