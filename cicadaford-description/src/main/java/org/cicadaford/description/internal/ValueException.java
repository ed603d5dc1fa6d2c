package org.cicadaford.description.internal;

import org.yaml.snakeyaml.nodes.Node;

/** Signals that a field does not accept a value. */
final class ValueException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient Node node;
  private final String remedy;

  ValueException(Node node, String problem, String remedy) {
    super(problem);
    this.node = node;
    this.remedy = remedy;
  }

  Node node() {
    return node;
  }

  String remedy() {
    return remedy;
  }
}
