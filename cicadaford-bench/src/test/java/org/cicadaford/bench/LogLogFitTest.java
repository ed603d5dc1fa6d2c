package org.cicadaford.bench;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;

/** Guards against a fit that reports a wrong growth exponent. */
class LogLogFitTest {

  @Property(seed = "51")
  void exponentOfAPowerLawIsFound(@ForAll @DoubleRange(min = -2, max = 2) double exponent) {
    List<Double> xs = List.of(50.0, 160.0, 530.0, 5_000.0);
    List<Double> ys = xs.stream().map(x -> 3 * Math.pow(x, exponent)).toList();

    LogLogFit fit = LogLogFit.of(xs, ys);

    assertThat(fit.exponent()).isCloseTo(exponent, within(1e-9));
    assertThat(fit.residual()).isCloseTo(0, within(1e-9));
  }
}
