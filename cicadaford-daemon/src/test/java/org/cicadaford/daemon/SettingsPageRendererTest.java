package org.cicadaford.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;

/** Guards against a settings page that differs from the settings. */
class SettingsPageRendererTest {

  @Example
  void committedPageEqualsTheGeneratedOne() throws IOException {
    assertThat(Files.readString(Path.of("..", "docs", "settings.md")))
        .as("write the page again with SettingsPageRenderer")
        .isEqualTo(SettingsPageRenderer.render());
  }
}
