package org.cicadaford.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;

/** Guards against a settings page that is out of date. */
class SettingsPageRendererTest {

  @Example
  void committedPageMatchesTheGeneratedPage() throws IOException {
    assertThat(Files.readString(Path.of("..", "docs", "settings.md")))
        .as("regenerate the page with SettingsPageRenderer")
        .isEqualTo(SettingsPageRenderer.render());
  }
}
