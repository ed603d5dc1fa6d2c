package org.cicadaford.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Writes plots as SVG files. */
final class PlotWriter {

  private static final int WIDTH = 800;
  private static final int HEIGHT = 500;

  private PlotWriter() {}

  /** Writes a line plot with logarithmic axes. */
  static void writeLogLog(
      Path file, String title, String xTitle, String yTitle, List<Double> xs, List<Double> ys)
      throws IOException {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle(xTitle)
            .yAxisTitle(yTitle)
            .build();
    chart.getStyler().setXAxisLogarithmic(true).setYAxisLogarithmic(true).setLegendVisible(false);
    chart.addSeries(yTitle, xs, ys);
    VectorGraphicsEncoder.saveVectorGraphic(chart, file.toString(), VectorGraphicsFormat.SVG);
  }

  /** Writes a bar plot with one series per name. */
  static void writeBars(
      Path file, String title, String yTitle, List<String> names, Map<String, List<Double>> series)
      throws IOException {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .yAxisTitle(yTitle)
            .build();
    chart.getStyler().setXAxisLabelRotation(30);
    series.forEach((name, values) -> chart.addSeries(name, names, values));
    VectorGraphicsEncoder.saveVectorGraphic(chart, file.toString(), VectorGraphicsFormat.SVG);
  }
}
