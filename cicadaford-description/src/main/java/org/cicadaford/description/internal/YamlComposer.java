package org.cicadaford.description.internal;

import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.reader.ReaderException;

/** Composes the bytes of a file into YAML nodes with their positions. */
final class YamlComposer {

  /** Limits the memory that is used for one file. */
  private static final int MAX_CODE_POINTS = 1_000_000;

  private static final int MAX_DEPTH = 10;

  private YamlComposer() {}

  /** Returns the top-level mapping of the file, or empty after an error. */
  static Optional<MappingNode> compose(String file, byte[] content, ErrorList errors) {
    Optional<String> text = decode(file, content, errors);
    if (text.isEmpty() || reportTabs(file, text.get(), errors)) {
      return Optional.empty();
    }
    try {
      Node node = new Yaml(options()).compose(new StringReader(text.get()));
      if (node instanceof MappingNode mapping) {
        return Optional.of(mapping);
      }
      String found = node == null ? "nothing" : ScalarParser.kindOf(node);
      errors.addForFile(
          file, "expected lists of jobs, teams or queues, found " + found, "start with jobs:");
    } catch (MarkedYAMLException e) {
      addSyntaxError(file, e, errors);
    } catch (ReaderException e) {
      errors.add(
          positionOfIndex(file, text.get(), e.getPosition()),
          "",
          String.format("character U+%04X is not allowed in YAML", e.getCodePoint()),
          "remove it");
    } catch (YAMLException e) {
      errors.addForFile(file, e.getMessage(), "split the file into smaller ones");
    }
    return Optional.empty();
  }

  private static LoaderOptions options() {
    LoaderOptions options = new LoaderOptions();
    options.setCodePointLimit(MAX_CODE_POINTS);
    options.setNestingDepthLimit(MAX_DEPTH);
    return options;
  }

  private static Optional<String> decode(String file, byte[] content, ErrorList errors) {
    ByteBuffer bytes = ByteBuffer.wrap(content);
    try {
      String text =
          StandardCharsets.UTF_8
              .newDecoder()
              .onMalformedInput(CodingErrorAction.REPORT)
              .onUnmappableCharacter(CodingErrorAction.REPORT)
              .decode(bytes)
              .toString();
      return Optional.of(text.startsWith("\uFEFF") ? text.substring(1) : text);
    } catch (CharacterCodingException e) {
      String before = new String(content, 0, bytes.position(), StandardCharsets.UTF_8);
      errors.add(
          positionOfIndex(file, before, before.length()),
          "",
          "the bytes are not UTF-8",
          "save the file as UTF-8");
      return Optional.empty();
    }
  }

  /** Reports tabs in indentation, which the YAML parser reports at a misleading position. */
  private static boolean reportTabs(String file, String text, ErrorList errors) {
    boolean found = false;
    String[] lines = text.split("\n", -1);
    for (int i = 0; i < lines.length; i++) {
      int column = lines[i].indexOf('\t');
      if (column >= 0 && lines[i].substring(0, column).isBlank() && !lines[i].isBlank()) {
        errors.add(
            new Position(file, i + 1, column + 1),
            "",
            "a tab in the indentation",
            "indent with spaces");
        found = true;
      }
    }
    return found;
  }

  private static void addSyntaxError(String file, MarkedYAMLException e, ErrorList errors) {
    String context = e.getContext() == null ? "" : e.getContext() + ": ";
    String remedy =
        e.getProblem() != null && e.getProblem().contains("found another document")
            ? "keep one document in each file"
            : "check the indentation, colons and quotes at this place";
    errors.add(
        Position.of(file, e.getProblemMark()),
        "",
        "not valid YAML: " + context + e.getProblem(),
        remedy);
  }

  private static Position positionOfIndex(String file, String text, int index) {
    String before = text.substring(0, Math.min(index, text.length()));
    int line = (int) before.chars().filter(c -> c == '\n').count() + 1;
    return new Position(file, line, before.length() - before.lastIndexOf('\n'));
  }
}
