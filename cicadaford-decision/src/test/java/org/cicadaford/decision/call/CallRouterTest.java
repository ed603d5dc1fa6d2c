package org.cicadaford.decision.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import org.apache.commons.rng.simple.RandomSource;
import org.cicadaford.decision.call.CallRouter.Choice;

/** Guards against calls to endpoints that are full, leaving, failing or in another zone. */
class CallRouterTest {

  private static final ListedEndpoint NEAR = new ListedEndpoint("near", "z1", false);
  private static final ListedEndpoint NEAR_TOO = new ListedEndpoint("near-too", "z1", false);
  private static final ListedEndpoint FAR = new ListedEndpoint("far", "z2", false);

  private final EndpointSlotTracker slots = new EndpointSlotTracker("z1");
  private final CallRouter router =
      new CallRouter("z1", slots, RandomSource.XO_RO_SHI_RO_128_PP.create(1));

  private Choice choose(long nowMillis) {
    return router.choose(Set.of(), nowMillis);
  }

  private static Choice chosen(ListedEndpoint endpoint) {
    return new Choice.Chosen(endpoint.endpointId());
  }

  @Example
  void ownZoneGoesFirstUntilItsShareOfSlotsIsTaken() {
    slots.updateEntryCounts(2, 7);
    router.update(List.of(FAR, NEAR));

    for (int call = 0; call < 4; call++) {
      assertThat(choose(0)).isEqualTo(chosen(NEAR));
    }
    assertThat(choose(0)).isEqualTo(chosen(FAR));
    assertThat(choose(0)).isEqualTo(new Choice.Busy());
    router.onEnded("near", true, 1);
    assertThat(choose(1)).isEqualTo(chosen(NEAR));
  }

  @Example
  void theEndpointWithFewerCallsIsChosen() {
    router.update(List.of(NEAR, NEAR_TOO));

    for (int call = 0; call < 16; call++) {
      choose(0);
    }
    assertThat(slots.inFlight("near")).isEqualTo(8);
    assertThat(slots.inFlight("near-too")).isEqualTo(8);
  }

  @Example
  void untriedEndpointsArePreferred() {
    router.update(List.of(NEAR, FAR));

    assertThat(router.choose(Set.of("near"), 0)).isEqualTo(chosen(FAR));
    assertThat(router.choose(Set.of("near", "far"), 0)).isEqualTo(chosen(NEAR));
  }

  @Example
  void leavingEndpointIsNeverChosen() {
    router.update(List.of(new ListedEndpoint("near", "z1", true)));

    assertThat(choose(0)).isEqualTo(new Choice.None(CallRouter.UNLISTED_RETRY_AFTER_MILLIS));
  }

  @Example
  void failedEndpointGetsOneProbeAtATimeWithGrowingPauses() {
    router.update(List.of(NEAR));
    choose(0);
    router.onEnded("near", false, 0);
    assertThat(choose(100)).isEqualTo(new Choice.None(400));
    assertThat(choose(500)).isEqualTo(chosen(NEAR));
    assertThat(choose(500)).isInstanceOf(Choice.None.class);
    router.onEnded("near", false, 500);
    assertThat(choose(1_499)).isEqualTo(new Choice.None(1));
    assertThat(choose(1_500)).isEqualTo(chosen(NEAR));
    router.onEnded("near", true, 1_500);
    assertThat(choose(1_500)).isEqualTo(chosen(NEAR));
    assertThat(choose(1_500)).isEqualTo(chosen(NEAR));
  }

  @Example
  void eachEntryInstanceHasAtLeastOneSlotOfEachEndpoint() {
    slots.updateEntryCounts(20, 30);
    assertThat(slots.slotLimit("z1")).isEqualTo(1);
    slots.updateEntryCounts(0, 0);
    assertThat(slots.slotLimit("z2")).isEqualTo(8);
    slots.updateEntryCounts(2, 7);
    assertThat(slots.slotLimit("z1")).isEqualTo(4);
  }
}
