package org.cicadaford.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Writes a table of results as CSV and Markdown. */
final class ResultWriter {

  private final String title;
  private final List<String> header;
  private final List<List<String>> rows = new ArrayList<>();

  ResultWriter(String title, String... header) {
    this.title = title;
    this.header = List.of(header);
  }

  void add(Object... cells) {
    List<String> row = new ArrayList<>();
    for (Object cell : cells) {
      row.add(format(cell));
    }
    rows.add(row);
  }

  static String format(Object cell) {
    if (!(cell instanceof Double number)) {
      return String.valueOf(cell);
    }
    if (number.isNaN()) {
      return "-";
    }
    int digits = Math.abs(number) >= 100 ? 0 : Math.abs(number) >= 1 ? 2 : 3;
    return String.format(Locale.ROOT, "%." + digits + "f", number);
  }

  String toMarkdown() {
    StringBuilder text = new StringBuilder("## " + title + "\n\n");
    text.append("| ").append(String.join(" | ", header)).append(" |\n");
    text.append("|").append(" --- |".repeat(header.size())).append("\n");
    rows.forEach(row -> text.append("| ").append(String.join(" | ", row)).append(" |\n"));
    return text.append("\n").toString();
  }

  void writeCsv(Path file) throws IOException {
    List<String> lines = new ArrayList<>();
    lines.add(String.join(",", header));
    rows.forEach(row -> lines.add(String.join(",", row)));
    Files.write(file, lines);
  }
}
