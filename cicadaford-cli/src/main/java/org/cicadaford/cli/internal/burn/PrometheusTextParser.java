package org.cicadaford.cli.internal.burn;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the Prometheus text format, version 0.0.4. */
public final class PrometheusTextParser {

  private static final Pattern LINE =
      Pattern.compile("([a-zA-Z_:][a-zA-Z0-9_:]*)(?:\\{(.*)\\})?\\s+(\\S+)(?:\\s+-?\\d+)?");
  private static final Pattern LABEL =
      Pattern.compile("\\s*([a-zA-Z_][a-zA-Z0-9_]*)\\s*=\\s*\"((?:[^\"\\\\]|\\\\.)*)\"\\s*,?");

  private PrometheusTextParser() {}

  /** Returns the values in {@code text}, skipping comments and malformed lines. */
  public static List<MetricValue> parse(String text) {
    List<MetricValue> values = new ArrayList<>();
    for (String line : text.split("\n")) {
      if (!line.isBlank() && !line.startsWith("#")) {
        parseLine(line.strip()).ifPresent(values::add);
      }
    }
    return values;
  }

  private static Optional<MetricValue> parseLine(String line) {
    Matcher matcher = LINE.matcher(line);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    Map<String, String> labels = new LinkedHashMap<>();
    if (matcher.group(2) != null) {
      Matcher label = LABEL.matcher(matcher.group(2));
      while (label.lookingAt()) {
        labels.put(label.group(1), unescape(label.group(2)));
        label.region(label.end(), matcher.group(2).length());
      }
    }
    return number(matcher.group(3))
        .map(value -> new MetricValue(matcher.group(1), Map.copyOf(labels), value));
  }

  private static Optional<Double> number(String text) {
    try {
      return Optional.of(
          switch (text) {
            case "+Inf" -> Double.POSITIVE_INFINITY;
            case "-Inf" -> Double.NEGATIVE_INFINITY;
            default -> Double.parseDouble(text);
          });
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  private static String unescape(String text) {
    StringBuilder result = new StringBuilder();
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c == '\\' && i + 1 < text.length()) {
        i++;
        result.append(text.charAt(i) == 'n' ? '\n' : text.charAt(i));
      } else {
        result.append(c);
      }
    }
    return result.toString();
  }
}
