package org.cicadaford.description.internal;

import java.math.BigDecimal;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;
import org.yaml.snakeyaml.nodes.Tag;

/** Parses text, booleans, numbers and quantities with units from YAML nodes. */
final class ScalarParser {

  /** Maximum length of a number, which limits the cost of parsing it. */
  private static final int MAX_NUMBER_LENGTH = 18;

  private static final Pattern NUMBER = Pattern.compile("(0|[1-9][0-9]*)(\\.[0-9]+)?");
  private static final Pattern QUANTITY = Pattern.compile("([0-9.]+)\\s*([A-Za-zµ]*)");

  /** Holds a number and its unit; the unit is empty if none was given. */
  record Quantity(BigDecimal amount, String unit) {}

  private ScalarParser() {}

  static String text(Node node, String example) throws ValueException {
    if (node instanceof ScalarNode scalar && scalar.getTag().equals(Tag.STR)) {
      return scalar.getValue();
    }
    String remedy =
        node instanceof ScalarNode scalar && !scalar.getTag().equals(Tag.NULL)
            ? "put it in quotes: \"" + scalar.getValue() + "\""
            : "write text such as " + example;
    throw new ValueException(node, "expected text, found " + kindOf(node), remedy);
  }

  static boolean flag(Node node) throws ValueException {
    if (node instanceof ScalarNode scalar
        && scalar.getTag().equals(Tag.BOOL)
        && scalar.getValue().matches("true|false")) {
      return scalar.getValue().equals("true");
    }
    throw new ValueException(
        node, "expected true or false, found " + kindOf(node), "write true or false");
  }

  static BigDecimal number(Node node, String example) throws ValueException {
    if (node instanceof ScalarNode scalar
        && scalar.isPlain()
        && NUMBER.matcher(scalar.getValue()).matches()
        && scalar.getValue().length() <= MAX_NUMBER_LENGTH) {
      return new BigDecimal(scalar.getValue());
    }
    throw new ValueException(
        node,
        "expected a number, found " + kindOf(node),
        "write a decimal number without quotes, sign, unit or leading zeros, such as " + example);
  }

  static Quantity quantity(Node node, String example) throws ValueException {
    String remedy = "write a number and a unit, such as " + example;
    if (!(node instanceof ScalarNode scalar)) {
      throw new ValueException(node, "expected a quantity, found " + kindOf(node), remedy);
    }
    Matcher matcher = QUANTITY.matcher(scalar.getValue().strip());
    if (!matcher.matches()
        || !NUMBER.matcher(matcher.group(1)).matches()
        || matcher.group(1).length() > MAX_NUMBER_LENGTH) {
      throw new ValueException(node, "expected a quantity, found " + kindOf(node), remedy);
    }
    return new Quantity(new BigDecimal(matcher.group(1)), matcher.group(2));
  }

  static String kindOf(Node node) {
    return switch (node) {
      case MappingNode mapping -> "a mapping";
      case SequenceNode sequence -> "a list";
      case ScalarNode scalar when scalar.getTag().equals(Tag.NULL) -> "nothing";
      case ScalarNode scalar when scalar.getTag().equals(Tag.BOOL) ->
          "the boolean " + scalar.getValue();
      case ScalarNode scalar when scalar.getTag().equals(Tag.STR) ->
          "the text \"" + truncate(scalar.getValue()) + "\"";
      case ScalarNode scalar -> "the number or date " + truncate(scalar.getValue());
      default -> "an unknown node";
    };
  }

  private static String truncate(String text) {
    String line = text.replace("\n", "\\n");
    return line.length() <= 60 ? line : line.substring(0, 60) + "…";
  }
}
