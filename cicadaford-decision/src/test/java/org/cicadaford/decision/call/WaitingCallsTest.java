package org.cicadaford.decision.call;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Guards against calls that wait for a slot that they cannot get in time. */
class WaitingCallsTest {

  private final ServiceRate rate = new ServiceRate();
  private final WaitingCalls<String> waiting = new WaitingCalls<>(3, rate);

  private void measure(int inFlight, long durationMillis) {
    for (int call = 0; call <= inFlight; call++) {
      rate.onSent();
    }
    rate.onEnded(durationMillis);
  }

  @Example
  void fullQueueRefusesWithTheTimeThatItTakesToEmpty() {
    measure(4, 400);
    assertThat(waiting.refusal(10_000, 0)).isEmpty();
    waiting.add("a");
    waiting.add("b");
    waiting.add("c");

    assertThat(waiting.refusal(10_000, 0)).hasValue(400);
    assertThat(waiting.first()).isEqualTo("a");
    assertThat(waiting.remove("a")).isTrue();
    assertThat(waiting.remove("a")).isFalse();
    assertThat(waiting.refusal(10_000, 0)).isEmpty();
  }

  @Example
  void callThatWouldGetItsSlotTooLateIsRefusedAtOnce() {
    waiting.add("a");
    assertThat(waiting.refusal(100, 0)).as("before the rate is measured").isEmpty();
    measure(1, 200);

    assertThat(waiting.refusal(401, 0)).isEmpty();
    assertThat(waiting.refusal(400, 0)).hasValue(400);
  }

  @Example
  void retryAfterIsBounded() {
    assertThat(rate.waitMillis(5)).isEqualTo(ServiceRate.UNMEASURED_RETRY_AFTER_MILLIS);
    measure(1, 0);
    assertThat(rate.waitMillis(1)).isEqualTo(ServiceRate.MIN_RETRY_AFTER_MILLIS);
    rate.onSent();
    rate.onEnded(100_000_000);
    assertThat(rate.waitMillis(1)).isEqualTo(ServiceRate.MAX_RETRY_AFTER_MILLIS);
  }
}
