package org.cicadaford.description.internal;

import org.yaml.snakeyaml.error.Mark;
import org.yaml.snakeyaml.nodes.Node;

/**
 * Identifies a position in a file.
 *
 * @param line line number, from 1
 * @param column column number, from 1
 */
record Position(String file, int line, int column) {

  static Position startOf(String file) {
    return new Position(file, 1, 1);
  }

  static Position of(String file, Node node) {
    return of(file, node.getStartMark());
  }

  static Position of(String file, Mark mark) {
    return mark == null
        ? startOf(file)
        : new Position(file, mark.getLine() + 1, mark.getColumn() + 1);
  }
}
