package org.cicadaford.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.concurrent.atomic.AtomicReference;
import net.jqwik.api.Example;

/** Guards against a daemon that starts with invalid or wrongly parsed settings. */
class DaemonCommandTest {

  private final AtomicReference<DaemonSettings> started = new AtomicReference<>();
  private final StringWriter errors = new StringWriter();

  @Example
  void settingsCombineFlagsAndDefaults() {
    int exitCode = run("--zone", "morbihan", "--log-address=10.0.0.7:7400", "--port=0");

    assertThat(exitCode).isZero();
    DaemonSettings settings = started.get();
    assertThat(settings.entry().zone()).isEqualTo("morbihan");
    assertThat(settings.logHost()).isEqualTo("10.0.0.7");
    assertThat(settings.logPort()).isEqualTo(7_400);
    assertThat(settings.port()).isZero();
    assertThat(settings.bindAddress()).isEqualTo("127.0.0.1");
    assertThat(settings.entry().instanceId()).startsWith("entry-");
    assertThat(settings.requireLogAtStart()).isFalse();
  }

  @Example
  void errorNamesTheInvalidSetting() {
    assertRefused("--zone", "--log-address=127.0.0.1:1");
    assertRefused("--log-address", "--zone=a");
    assertRefused("--log-address", "--zone=a", "--log-address=127.0.0.1");
    assertRefused("--log-address", "--zone=a", "--log-address=127.0.0.1:x");
    assertRefused("--log-address", "--zone=a", "--log-address=127.0.0.1:70000");
    assertRefused("--port", "--zone=a", "--log-address=127.0.0.1:1", "--port=65536");
    assertRefused("--port", "--zone=a", "--log-address=127.0.0.1:1", "--port=-1");
    assertRefused("--poll-millis", "--zone=a", "--log-address=127.0.0.1:1", "--poll-millis=1s");
    assertRefused("--prot", "--zone=a", "--log-address=127.0.0.1:1", "--prot=1");
  }

  @Example
  void eachSettingHasItsOwnEnvironmentVariable() {
    assertThat(DaemonSettings.DEFINITIONS)
        .extracting(SettingDefinition::environmentVariable)
        .doesNotHaveDuplicates()
        .contains("CICADAFORD_LOG_ADDRESS", "CICADAFORD_MAX_BODY_BYTES");
  }

  private void assertRefused(String setting, String... arguments) {
    errors.getBuffer().setLength(0);

    assertThat(run(arguments)).isEqualTo(DaemonCommand.EXIT_USAGE);
    assertThat(errors.toString()).contains(setting);
    assertThat(started.get()).isNull();
  }

  private int run(String... arguments) {
    return DaemonCommand.execute(
        settings -> {
          started.set(settings);
          return 0;
        },
        new PrintWriter(errors, true),
        new PrintWriter(errors, true),
        arguments);
  }
}
