package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Example;
import org.cicadaford.cell.DeploymentBounds;

/** Tests the bounds that instances read from the rendered settings. */
class BoundSettingsTest {

  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z0-9_.]+)(\\|json)?}}");

  private static final Map<String, String> ADDRESSES =
      Map.of("node", "\"i\"", "zone", "\"z\"", "ip", "\"10.0.0.1\"", "advice", "10.0.0.2:1");

  /** Renders the template of the deploy file as the platform does. */
  private static InstanceSettings load(Map<String, String> bounds) throws IOException {
    String template = Files.readString(Path.of("..", "deploy", "settings.template.json"));
    Matcher matcher = PLACEHOLDER.matcher(template);
    String rendered =
        matcher.replaceAll(
            match -> {
              String name = match.group(1);
              boolean optional = name.matches("platform.record_bytes|bounds.*(?<!max_hold_ms)");
              String other = name.contains("addr") ? "\"10.0.0.1:1\"" : "5000";
              String fallback = optional ? bounds.getOrDefault(name, "") : other;
              boolean required = name.matches("bounds.(revoke_ms|grace_s|status_s)");
              return ADDRESSES.getOrDefault(name, required ? "5000" : fallback);
            });
    Path file = Files.createTempFile("settings", ".json");
    try {
      Files.writeString(file, rendered);
      return InstanceSettings.load(file.toFile());
    } finally {
      Files.delete(file);
    }
  }

  /** Guards against a deployment without the bounds that cannot start. */
  @Example
  void absentBoundsHaveTheirDefaults() throws IOException {
    assertThat(load(Map.of()).cellSettings().bounds()).isEqualTo(DeploymentBounds.DEFAULT);
    assertThat(new BoundSettings(null, "null", " ", "", "", "", "").bounds())
        .isEqualTo(DeploymentBounds.DEFAULT);
  }

  /** Guards against a bound that is read from another one's name, and against lost fractions. */
  @Example
  void boundsAreReadFromTheTemplate() throws IOException {
    Map<String, String> bounds =
        Map.of(
            "bounds.stop_ms", "900",
            "bounds.restore_ms", "100",
            "bounds.checkpoint_s", "0.5",
            "bounds.drain_ms", "3000.0",
            "bounds.gang_timeout_ms", "4000",
            "bounds.notice_ms", "5500",
            "platform.record_bytes", "131072");
    assertThat(load(bounds).cellSettings().bounds())
        .isEqualTo(new DeploymentBounds(900, 100, 500, 3_000, 4_000, 5_500, 131_072));
  }

  /** Guards against an odd bound that is used, or refused without its name. */
  @Example
  void invalidBoundsAreNamed() {
    for (String odd : new String[] {"-1", "abc", "NaN", "1e999999999", "{}", "3600000.1"}) {
      assertThatThrownBy(() -> load(Map.of("bounds.stop_ms", odd)))
          .isInstanceOf(IOException.class)
          .hasMessageContaining("bounds.runStopMillis must be a number from 0 to 3600000");
    }
    assertThatThrownBy(() -> load(Map.of("bounds.checkpoint_s", "-0.5")))
        .hasMessageContaining("bounds.checkpointSeconds");
    assertThatThrownBy(() -> load(Map.of("platform.record_bytes", "100")))
        .hasMessageContaining("bounds.maxRecordBytes must be a number from 4096 to 2097152");
  }

  /** Guards against a page that lacks a bound, or states another default than is used. */
  @Example
  void settingsPageNamesEachBoundAndItsDefault() throws IOException {
    String page = Files.readString(Path.of("..", "docs", "settings.md"));
    DeploymentBounds defaults = DeploymentBounds.DEFAULT;
    Map<String, Long> values =
        Map.of(
            "runStopMillis", defaults.runStopMillis(),
            "restoreMillis", defaults.restoreMillis(),
            "checkpointSeconds", defaults.checkpointMillis() / 1_000,
            "drainMillis", defaults.drainMillis(),
            "gangTimeoutMillis", defaults.gangTimeoutMillis(),
            "noticeMillis", defaults.noticeMillis(),
            "maxRecordBytes", (long) defaults.maxRecordBytes());
    values.forEach(
        (name, value) ->
            assertThat(page)
                .containsPattern("\\| `bounds\\." + name + "` \\|.*\\| " + value + " \\|"));
  }
}
