package org.cicadaford.decision.call;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Guards against calls that wait for a slot they cannot get before their deadline. */
class CallQueueTest {

  private final ServiceRateMeter rate = new ServiceRateMeter();
  private final CallQueue<String> waiting = new CallQueue<>(3, rate);

  private void measure(int inFlight, long durationMillis) {
    for (int call = 0; call <= inFlight; call++) {
      rate.onSent();
    }
    rate.onEnded(durationMillis);
  }

  @Example
  void fullQueueRefusesWithTheTimeThatItTakesToEmpty() {
    measure(4, 400);
    assertThat(waiting.retryAfterIfRefused(10_000, 0)).isEmpty();
    waiting.add("a");
    waiting.add("b");
    waiting.add("c");

    assertThat(waiting.retryAfterIfRefused(10_000, 0)).hasValue(400);
    assertThat(waiting.first()).isEqualTo("a");
    assertThat(waiting.remove("a")).isTrue();
    assertThat(waiting.remove("a")).isFalse();
    assertThat(waiting.retryAfterIfRefused(10_000, 0)).isEmpty();
  }

  @Example
  void callThatWouldGetItsSlotTooLateIsRefusedAtOnce() {
    waiting.add("a");
    assertThat(waiting.retryAfterIfRefused(100, 0)).as("before the rate is measured").isEmpty();
    measure(1, 200);

    assertThat(waiting.retryAfterIfRefused(401, 0)).isEmpty();
    assertThat(waiting.retryAfterIfRefused(400, 0)).hasValue(400);
  }

  @Example
  void retryAfterIsBounded() {
    assertThat(rate.estimatedWaitMillis(5))
        .isEqualTo(ServiceRateMeter.UNMEASURED_RETRY_AFTER_MILLIS);
    measure(1, 0);
    assertThat(rate.estimatedWaitMillis(1)).isEqualTo(ServiceRateMeter.MIN_RETRY_AFTER_MILLIS);
    rate.onSent();
    rate.onEnded(100_000_000);
    assertThat(rate.estimatedWaitMillis(1)).isEqualTo(ServiceRateMeter.MAX_RETRY_AFTER_MILLIS);
  }
}
