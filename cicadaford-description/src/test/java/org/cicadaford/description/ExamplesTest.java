package org.cicadaford.description;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;

/** Guards against examples that are invalid or that let a settlement run twice. */
class ExamplesTest {

  @Example
  void examplesAreValidAndSettlementIsNotRepeatable() throws InvalidDescriptionsException {
    DescriptionSet set =
        new DescriptionCollector(new DescriptionLimits(4)).collect(List.of(Path.of("../examples")));

    assertThat(set.jobs()).extracting(JobDescription::kind).contains(JobKind.values());
    assertThat(set.jobs())
        .filteredOn(job -> job.name().equals("redemption-settlement"))
        .singleElement()
        .satisfies(job -> assertThat(job.repeatable() || job.checkpointable()).isFalse());
  }
}
