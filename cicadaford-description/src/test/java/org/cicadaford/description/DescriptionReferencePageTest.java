package org.cicadaford.description;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;

/** Guards against a reference page that no longer states what the reader accepts. */
class DescriptionReferencePageTest {

  @Example
  void committedPageIsTheGeneratedOne() throws IOException {
    assertThat(Files.readString(Path.of("../docs/description-file.md")))
        .as("run: bin/cicadaford config reference > docs/description-file.md")
        .isEqualTo(DescriptionReferencePage.render());
  }
}
