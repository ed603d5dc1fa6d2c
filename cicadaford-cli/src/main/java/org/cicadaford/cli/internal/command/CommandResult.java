package org.cicadaford.cli.internal.command;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cicadaford.cli.ExitCode;

/**
 * Holds what a command prints.
 *
 * @param exitCode exit code of the command
 * @param text lines for text output
 * @param json fields for JSON output
 */
record CommandResult(ExitCode exitCode, List<String> text, Map<String, Object> json) {

  /** Returns a successful result; {@code namesAndValues} alternates JSON names and values. */
  static CommandResult ok(List<String> text, Object... namesAndValues) {
    Map<String, Object> json = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      json.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return new CommandResult(ExitCode.OK, text, json);
  }
}
