package org.cicadaford.description.internal;

import org.yaml.snakeyaml.nodes.Node;

/**
 * Reads the values of a field.
 *
 * @param description what is accepted, for the reference page
 * @param parser reads a node
 */
record ValueType<T>(String description, Parser<T> parser) {

  /** Reads a value from a node. */
  interface Parser<T> {
    T parse(Node node) throws ValueException;
  }
}
