package org.cicadaford.description;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;

/** Guards against a reference page that differs from the field definitions. */
class DescriptionReferencePageTest {

  @Example
  void committedPageMatchesGeneratedPage() throws IOException {
    assertThat(Files.readString(Path.of("../docs/description-file.md")))
        .as("run: bin/cicadaford config reference > docs/description-file.md")
        .isEqualTo(DescriptionReferencePage.render());
  }
}
