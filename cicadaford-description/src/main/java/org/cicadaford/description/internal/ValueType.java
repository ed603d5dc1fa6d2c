package org.cicadaford.description.internal;

import org.yaml.snakeyaml.nodes.Node;

/**
 * Defines the values that a field accepts and how they are parsed.
 *
 * @param description accepted values, as shown on the reference page
 * @param parser parser of a YAML node
 */
record ValueType<T>(String description, Parser<T> parser) {

  /** Parses a value from a YAML node. */
  interface Parser<T> {
    T parse(Node node) throws ValueException;
  }
}
