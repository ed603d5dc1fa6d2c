package org.cicadaford.cli.internal.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.PrintWriter;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.cicadaford.cli.ExitCode;
import org.cicadaford.cli.internal.command.LogConnector.OpenLog;
import org.cicadaford.cli.internal.config.CommandException;
import org.cicadaford.cli.internal.config.ConfigStream;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Base class of commands that print a result or an error in the selected output format. */
abstract class SessionCommand implements Callable<Integer> {

  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  private final Session session;

  @Spec private CommandSpec spec;

  SessionCommand(Session session) {
    this.session = session;
  }

  abstract CommandResult execute() throws CommandException;

  final Session session() {
    return session;
  }

  final ConfigStream configStream(OpenLog open) {
    Environment environment = session.environment();
    return new ConfigStream(open.log(), environment.sleeper(), environment.clock());
  }

  /** Prints a message to standard error. */
  final void warn(String message) {
    PrintWriter err = spec.commandLine().getErr();
    err.println(message);
    err.flush();
  }

  @Override
  public final Integer call() {
    try {
      CommandResult result = execute();
      print(result);
      return result.exitCode().number();
    } catch (CommandException e) {
      printError(e);
      return e.exitCode().number();
    }
  }

  private void print(CommandResult result) {
    PrintWriter out = spec.commandLine().getOut();
    if (session.isJson()) {
      out.println(toJson(result.json()));
    } else {
      result.text().forEach(out::println);
    }
    out.flush();
  }

  private void printError(CommandException e) {
    if (!session.isJson()) {
      warn(e.getMessage());
      return;
    }
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("error", errorKind(e.exitCode()));
    json.put("exitCode", e.exitCode().number());
    json.put("detail", e.getMessage());
    warn(toJson(json));
  }

  private static String errorKind(ExitCode exitCode) {
    return exitCode.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  static String toJson(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot encode as JSON: " + value.getClass(), e);
    }
  }
}
