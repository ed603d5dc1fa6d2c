package org.cicadaford.cli.internal.command;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cicadaford.cli.ExitCode;

/**
 * Holds what a command prints.
 *
 * @param exitCode how the command ended
 * @param text lines for people
 * @param json the same for programs
 */
record CommandResult(ExitCode exitCode, List<String> text, Map<String, Object> json) {

  /** Returns a result whose JSON object has alternating names and values. */
  static CommandResult ok(List<String> text, Object... namesAndValues) {
    Map<String, Object> json = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      json.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return new CommandResult(ExitCode.OK, text, json);
  }
}
