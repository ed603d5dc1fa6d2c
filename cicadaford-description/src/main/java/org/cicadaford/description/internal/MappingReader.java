package org.cicadaford.description.internal;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;

/** Reads the fields of a mapping and reports unknown, duplicate, missing and invalid ones. */
final class MappingReader {

  private final String file;
  private final String path;
  private final MappingNode mapping;
  private final ErrorList errors;
  private final int initialErrorCount;
  private final Map<String, Node> valuesByName = new LinkedHashMap<>();

  MappingReader(
      String file, String path, MappingNode mapping, List<String> knownFields, ErrorList errors) {
    this.file = file;
    this.path = path;
    this.mapping = mapping;
    this.errors = errors;
    this.initialErrorCount = errors.size();
    for (NodeTuple tuple : mapping.getValue()) {
      readKey(tuple, knownFields);
    }
  }

  private void readKey(NodeTuple tuple, List<String> knownFields) {
    Node key = tuple.getKeyNode();
    Position position = Position.of(file, key);
    if (!(key instanceof ScalarNode scalar)) {
      errors.add(position, path, "a field name must be text", "write name: value");
      return;
    }
    String name = scalar.getValue();
    if (!knownFields.contains(name)) {
      String remedy =
          NameSuggester.nearest(name, knownFields)
              .map(nearest -> "did you mean " + nearest + "?")
              .orElse("known fields are " + String.join(", ", knownFields));
      errors.add(position, pathOf(name), "unknown field", remedy);
      return;
    }
    if (valuesByName.putIfAbsent(name, tuple.getValueNode()) != null) {
      errors.add(position, pathOf(name), "the field is duplicated", "remove one of the two");
    }
  }

  /** Returns the value of a field, its default where it is absent, or null after an error. */
  <T> T get(FieldSpec<T> spec) {
    Node node = valuesByName.get(spec.name());
    if (node == null) {
      if (spec.isRequired()) {
        errors.add(
            Position.of(file, mapping),
            pathOf(spec.name()),
            "the required field is missing",
            "add " + spec.name() + ": " + spec.type().description());
      }
      return spec.defaultValue();
    }
    try {
      return spec.type().parser().parse(node);
    } catch (ValueException e) {
      errors.add(Position.of(file, e.node()), pathOf(spec.name()), e.getMessage(), e.remedy());
      return null;
    }
  }

  /** Returns the node of a field, or null where it is absent. */
  Node node(String name) {
    return valuesByName.get(name);
  }

  boolean has(FieldSpec<?> spec) {
    return valuesByName.containsKey(spec.name());
  }

  void addError(FieldSpec<?> spec, String problem, String remedy) {
    errors.add(positionOf(spec), pathOf(spec.name()), problem, remedy);
  }

  Position positionOf(FieldSpec<?> spec) {
    return Position.of(file, valuesByName.getOrDefault(spec.name(), mapping));
  }

  String pathOf(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  boolean hasErrors() {
    return errors.size() > initialErrorCount;
  }
}
