package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Example;
import org.cicadaford.cell.DeploymentBounds;

/** Tests the bounds that instances read from their environment. */
class BoundSettingsTest {

  private static final Pattern VARIABLE =
      Pattern.compile("(CICADAFORD_[A-Z_]+) = \"\\{\\{([a-z_.]+)}}\"");

  /** Returns the bounds in the environment that the deploy file sets. */
  private static DeploymentBounds load(Map<String, String> bounds) throws IOException {
    Map<String, String> environment = new HashMap<>();
    Matcher variables = VARIABLE.matcher(Files.readString(Path.of("..", "deploy", "system.toml")));
    while (variables.find()) {
      environment.put(variables.group(1), bounds.getOrDefault(variables.group(2), ""));
    }
    return BoundSettings.of(environment).bounds();
  }

  /** Guards against a deployment without the bounds that cannot start. */
  @Example
  void absentBoundsHaveTheirDefaults() throws IOException {
    assertThat(load(Map.of())).isEqualTo(DeploymentBounds.DEFAULT);
    assertThat(BoundSettings.of(Map.of()).bounds()).isEqualTo(DeploymentBounds.DEFAULT);
    assertThat(new BoundSettings(null, "null", " ", "", "", "", "").bounds())
        .isEqualTo(DeploymentBounds.DEFAULT);
  }

  /** Guards against a bound that is read from another one's name, and against lost fractions. */
  @Example
  void boundsAreReadFromTheEnvironment() throws IOException {
    Map<String, String> bounds =
        Map.of(
            "bounds.stop_ms", "900",
            "bounds.restore_ms", "100",
            "bounds.checkpoint_s", "0.5",
            "bounds.drain_ms", "3000.0",
            "bounds.gang_timeout_ms", "4000",
            "bounds.notice_ms", "5500",
            "platform.record_bytes", "131072");
    assertThat(load(bounds))
        .isEqualTo(new DeploymentBounds(900, 100, 500, 3_000, 4_000, 5_500, 131_072));
  }

  /** Guards against an odd bound that is used, or refused without its name. */
  @Example
  void invalidBoundsAreNamed() {
    for (String odd : new String[] {"-1", "abc", "NaN", "1e999999999", "{}", "3600000.1"}) {
      assertThatThrownBy(() -> load(Map.of("bounds.stop_ms", odd)))
          .isInstanceOf(IOException.class)
          .hasMessageContaining("CICADAFORD_RUN_STOP_MILLIS must be a number from 0 to 3600000");
    }
    assertThatThrownBy(() -> load(Map.of("bounds.checkpoint_s", "-0.5")))
        .hasMessageContaining("CICADAFORD_CHECKPOINT_SECONDS");
    assertThatThrownBy(() -> load(Map.of("platform.record_bytes", "100")))
        .hasMessageContaining("CICADAFORD_MAX_RECORD_BYTES must be a number from 4096 to 2097152");
  }

  /** Guards against a page that lacks a bound, or states another default than is used. */
  @Example
  void settingsPageNamesEachBoundAndItsDefault() throws IOException {
    String page = Files.readString(Path.of("..", "docs", "settings.md"));
    DeploymentBounds defaults = DeploymentBounds.DEFAULT;
    Map<String, Long> values =
        Map.of(
            "RUN_STOP_MILLIS", defaults.runStopMillis(),
            "RESTORE_MILLIS", defaults.restoreMillis(),
            "CHECKPOINT_SECONDS", defaults.checkpointMillis() / 1_000,
            "DRAIN_MILLIS", defaults.drainMillis(),
            "GANG_TIMEOUT_MILLIS", defaults.gangTimeoutMillis(),
            "NOTICE_MILLIS", defaults.noticeMillis(),
            "MAX_RECORD_BYTES", (long) defaults.maxRecordBytes());
    values.forEach(
        (name, value) ->
            assertThat(page)
                .containsPattern("\\| `CICADAFORD_" + name + "` \\|.*\\| " + value + " \\|"));
  }
}
