package org.cicadaford.description.internal;

import java.math.BigDecimal;
import java.text.Normalizer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.cicadaford.description.internal.ScalarParser.Quantity;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.SequenceNode;

/** Defines the value types of description files. */
final class ValueTypes {

  /** Names appear in URLs and metric labels, so their characters and length are restricted. */
  private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");

  private static final int MAX_ZONE_LENGTH = 63;

  /** Limits the size of start commands and zone snapshots, which contain the program. */
  private static final int MAX_PROGRAM_LENGTH = 4_096;

  private static final int MILLIS_PER_SECOND = 1_000;
  private static final Map<String, Long> MEBIBYTES_BY_UNIT = memoryUnits();
  private static final Map<String, Long> MILLIS_BY_UNIT = durationUnits();

  private ValueTypes() {}

  static ValueType<String> name() {
    return new ValueType<>(
        "1 to 63 lower-case letters, digits and inner hyphens",
        node -> {
          String text = ScalarParser.text(node, "balance-check");
          if (!NAME.matcher(text).matches()) {
            throw new ValueException(
                node,
                "\"" + text + "\" is not a name",
                "use 1 to 63 lower-case letters a to z, digits and inner hyphens");
          }
          return text;
        });
  }

  static ValueType<String> program() {
    return new ValueType<>(
        "text of 1 to 4096 characters",
        node -> {
          String text = ScalarParser.text(node, "\"echo done\"");
          if (text.isBlank() || text.length() > MAX_PROGRAM_LENGTH) {
            throw new ValueException(
                node,
                "the program has " + text.length() + " characters",
                "write a command of 1 to " + MAX_PROGRAM_LENGTH + " characters");
          }
          return text;
        });
  }

  static ValueType<List<String>> zones() {
    return new ValueType<>("list of names of availability zones", ValueTypes::parseZones);
  }

  private static List<String> parseZones(Node node) throws ValueException {
    if (!(node instanceof SequenceNode sequence) || sequence.getValue().isEmpty()) {
      throw new ValueException(
          node,
          "expected a list of availability zones, found " + ScalarParser.kindOf(node),
          "write [Kolkata, Bardhaman], or leave the field out to allow all zones");
    }
    List<String> zones = new ArrayList<>();
    for (Node item : sequence.getValue()) {
      String zone = ScalarParser.text(item, "Kolkata");
      checkZone(item, zone);
      if (zones.contains(zone)) {
        throw new ValueException(item, "zone " + zone + " is listed twice", "remove one of them");
      }
      zones.add(zone);
    }
    return zones;
  }

  /** Requires Unicode NFC, because an accented letter in another form does not match the zone. */
  private static void checkZone(Node node, String zone) throws ValueException {
    boolean printable =
        zone.codePoints().noneMatch(c -> Character.isISOControl(c) || c == '/' || c == '\\');
    if (zone.isBlank() || !zone.equals(zone.strip()) || zone.length() > MAX_ZONE_LENGTH) {
      throw new ValueException(
          node,
          "\"" + zone + "\" is not the name of an availability zone",
          "write 1 to " + MAX_ZONE_LENGTH + " characters without spaces around them");
    }
    if (!printable || !Normalizer.isNormalized(zone, Normalizer.Form.NFC)) {
      throw new ValueException(
          node,
          "\"" + zone + "\" has control characters, slashes or separate accents",
          "write it with composed letters (Unicode NFC) as operators name the zone");
    }
  }

  static <E extends Enum<E>> ValueType<E> choice(Class<E> type) {
    List<String> names =
        Arrays.stream(type.getEnumConstants())
            .map(constant -> constant.name().toLowerCase(Locale.ROOT))
            .toList();
    return new ValueType<>(
        names.stream().map(name -> "`" + name + "`").collect(Collectors.joining(", ")),
        node -> {
          String text = ScalarParser.text(node, names.getFirst());
          if (!names.contains(text)) {
            String nearest =
                NameSuggester.nearest(text.toLowerCase(Locale.ROOT), names)
                    .map(name -> "did you mean " + name + "? ")
                    .orElse("");
            throw new ValueException(
                node,
                "\"" + text + "\" is not a known value",
                nearest + "write one of " + String.join(", ", names));
          }
          return Enum.valueOf(type, text.toUpperCase(Locale.ROOT));
        });
  }

  static ValueType<Long> cores(String minimum, long maximum) {
    BigDecimal least = new BigDecimal(minimum);
    return new ValueType<>(
        "cores, " + minimum + " to " + maximum + " with up to 3 decimals",
        node -> {
          BigDecimal cores = ScalarParser.number(node, "0.5");
          checkRange(node, cores, least, maximum, "cores");
          return toWholeNumber(
              node, cores.movePointRight(3), "write at most 3 decimals, such as 0.125");
        });
  }

  static ValueType<Integer> count(int minimum, int maximum) {
    return new ValueType<>(
        "whole number, " + minimum + " to " + maximum,
        node -> {
          BigDecimal number = ScalarParser.number(node, "3");
          checkRange(node, number, BigDecimal.valueOf(minimum), maximum, "");
          return Math.toIntExact(toWholeNumber(node, number, "write a whole number, such as 3"));
        });
  }

  static ValueType<Boolean> flag() {
    return new ValueType<>("`true` or `false`", ScalarParser::flag);
  }

  static ValueType<Long> memory(long maximumGibibytes) {
    long maximum = maximumGibibytes * MEBIBYTES_BY_UNIT.get("GiB");
    return new ValueType<>(
        "number and unit MiB, GiB or TiB, 1MiB to " + maximumGibibytes + "GiB",
        node -> {
          BigDecimal amount = parseQuantity(node, MEBIBYTES_BY_UNIT, "2GiB");
          checkRange(node, amount, BigDecimal.ONE, maximum, "MiB");
          return toWholeNumber(node, amount, "write a whole number of MiB");
        });
  }

  static ValueType<Long> duration(long minimumSeconds, long maximumDays) {
    long maximum = maximumDays * MILLIS_BY_UNIT.get("d");
    BigDecimal minimum = BigDecimal.valueOf(minimumSeconds * MILLIS_PER_SECOND);
    return new ValueType<>(
        "number and unit ms, s, min, h or d, " + minimumSeconds + "s to " + maximumDays + "d",
        node -> {
          BigDecimal amount = parseQuantity(node, MILLIS_BY_UNIT, "90min");
          checkRange(node, amount, minimum, maximum, "ms");
          return toWholeNumber(node, amount, "write a whole number of milliseconds");
        });
  }

  private static BigDecimal parseQuantity(Node node, Map<String, Long> factors, String example)
      throws ValueException {
    Quantity quantity = ScalarParser.quantity(node, example);
    Long factor = factors.get(quantity.unit());
    if (factor == null) {
      String units = String.join(", ", factors.keySet());
      String problem =
          quantity.unit().isEmpty()
              ? "the unit is missing"
              : "\"" + quantity.unit() + "\" is not a known unit";
      throw new ValueException(node, problem, "write one of " + units + ", such as " + example);
    }
    return quantity.amount().multiply(BigDecimal.valueOf(factor));
  }

  private static void checkRange(
      Node node, BigDecimal value, BigDecimal minimum, long maximum, String unit)
      throws ValueException {
    if (value.compareTo(minimum) < 0 || value.compareTo(BigDecimal.valueOf(maximum)) > 0) {
      String suffix = unit.isEmpty() ? "" : " " + unit;
      throw new ValueException(
          node,
          value.stripTrailingZeros().toPlainString() + suffix + " is out of range",
          "write " + minimum.toPlainString() + " to " + maximum + suffix);
    }
  }

  private static long toWholeNumber(Node node, BigDecimal value, String remedy)
      throws ValueException {
    try {
      return value.longValueExact();
    } catch (ArithmeticException e) {
      throw new ValueException(node, "the value has too many decimals", remedy);
    }
  }

  private static Map<String, Long> memoryUnits() {
    Map<String, Long> units = new LinkedHashMap<>();
    units.put("MiB", 1L);
    units.put("GiB", 1L << 10);
    units.put("TiB", 1L << 20);
    return units;
  }

  private static Map<String, Long> durationUnits() {
    Map<String, Long> units = new LinkedHashMap<>();
    units.put("ms", 1L);
    units.put("s", 1_000L);
    units.put("min", 60_000L);
    units.put("h", 3_600_000L);
    units.put("d", 86_400_000L);
    return units;
  }
}
