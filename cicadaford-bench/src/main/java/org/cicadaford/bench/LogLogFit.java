package org.cicadaford.bench;

import java.util.List;

/**
 * Holds a least-squares line through points in log-log space.
 *
 * @param exponent slope of the line: 1 is linear growth
 * @param residual root mean square distance of the points from the line, in natural logarithms
 */
public record LogLogFit(double exponent, double residual) {

  /** Fits a line to points with positive coordinates. */
  public static LogLogFit of(List<Double> xs, List<Double> ys) {
    int count = xs.size();
    double meanX = xs.stream().mapToDouble(Math::log).average().orElseThrow();
    double meanY = ys.stream().mapToDouble(Math::log).average().orElseThrow();
    double covariance = 0;
    double variance = 0;
    for (int i = 0; i < count; i++) {
      double dx = Math.log(xs.get(i)) - meanX;
      covariance += dx * (Math.log(ys.get(i)) - meanY);
      variance += dx * dx;
    }
    double slope = covariance / variance;
    double squares = 0;
    for (int i = 0; i < count; i++) {
      double line = meanY + slope * (Math.log(xs.get(i)) - meanX);
      squares += Math.pow(Math.log(ys.get(i)) - line, 2);
    }
    return new LogLogFit(slope, Math.sqrt(squares / count));
  }
}
