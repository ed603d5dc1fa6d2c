package org.cicadaford.entry.job;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.List;
import net.jqwik.api.Example;
import org.cicadaford.decision.ConfigState;
import org.cicadaford.entry.RefusalKind;
import org.cicadaford.entry.RefusalProbe;
import org.cicadaford.entry.config.ConfigView;
import org.cicadaford.entry.support.FakeLog;
import org.cicadaford.entry.support.Samples;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.ConfigRecord.KeyWithdrawn;

/** Guards against requests accepted for another team or with a withdrawn key. */
class TeamKeyVerifierTest {

  private static final long CONFIRMED_AT_MILLIS = 10_000;

  private final ConfigState config = new ConfigState();

  TeamKeyVerifierTest() {
    FakeLog log = new FakeLog();
    Samples.publish(log);
    List<ConfigRecord> records = log.records("config", ConfigRecord.class);
    for (int offset = 0; offset < records.size(); offset++) {
      config.apply(offset, records.get(offset));
    }
  }

  @Example
  void onlyTheTeamsOwnKeyIsAccepted() {
    assertThatCode(() -> check("counter", Samples.KEY, CONFIRMED_AT_MILLIS))
        .doesNotThrowAnyException();
    assertThat(refusal(Samples.OTHER_KEY)).isEqualTo(RefusalKind.WRONG_TEAM);
    assertThat(refusal("guess")).isEqualTo(RefusalKind.UNKNOWN_KEY);
    assertThat(refusal(null)).isEqualTo(RefusalKind.KEY_MISSING);
    assertThat(refusal("")).isEqualTo(RefusalKind.KEY_MISSING);
  }

  @Example
  void withdrawnKeyIsRefused() {
    config.apply(3, new KeyWithdrawn("withdraw", TeamKeyVerifier.hash(Samples.KEY)));

    assertThat(refusal(Samples.KEY)).isEqualTo(RefusalKind.UNKNOWN_KEY);
  }

  @Example
  void noKeyIsAcceptedAfterFiveSecondsWithoutConfirmation() {
    long lastMillis = CONFIRMED_AT_MILLIS + TeamKeyVerifier.MAX_CONFIG_AGE_MILLIS;

    assertThatCode(() -> check("counter", Samples.KEY, lastMillis)).doesNotThrowAnyException();
    assertThat(RefusalProbe.ofThrown(() -> check("counter", Samples.KEY, lastMillis + 1)).kind())
        .isEqualTo(RefusalKind.CONFIG_NOT_CONFIRMED);
  }

  @Example
  void openQueueNeedsNoKeyEvenWithoutConfirmation() {
    assertThatCode(() -> check("trial", null, CONFIRMED_AT_MILLIS + 1_000_000))
        .doesNotThrowAnyException();
  }

  private RefusalKind refusal(String key) {
    return RefusalProbe.ofThrown(() -> check("counter", key, CONFIRMED_AT_MILLIS)).kind();
  }

  private void check(String queue, String key, long nowMillis) throws Exception {
    TeamKeyVerifier.check(
        new ConfigView(config, CONFIRMED_AT_MILLIS), queue, "counters", key, nowMillis);
  }
}
