package org.cicadaford.cli.internal.command;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import org.cicadaford.cli.ExitCode;
import org.cicadaford.cli.internal.command.LogConnector.OpenLog;
import org.cicadaford.cli.internal.config.CommandException;
import org.cicadaford.cli.internal.entry.EntryClient;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;

/** Holds the settings that all commands share, from flags and environment variables. */
public final class Session {

  @Option(
      names = "--output",
      scope = ScopeType.INHERIT,
      defaultValue = "text",
      description = "Output format: ${COMPLETION-CANDIDATES}. Default: text.")
  private OutputFormat output = OutputFormat.text;

  @Option(
      names = "--log",
      scope = ScopeType.INHERIT,
      paramLabel = "HOST:PORT",
      defaultValue = "${env:CICADAFORD_LOG}",
      description = "Address of the platform's log. Environment variable CICADAFORD_LOG.")
  private String logAddress;

  @Option(
      names = "--entry",
      scope = ScopeType.INHERIT,
      paramLabel = "HOST:PORT",
      split = ",",
      defaultValue = "${env:CICADAFORD_ENTRY}",
      description = {
        "Addresses of entry daemons, separated by commas; the next is used where one cannot be"
            + " reached. Environment variable CICADAFORD_ENTRY."
      })
  private List<String> entryAddresses;

  @Option(
      names = "--key",
      scope = ScopeType.INHERIT,
      paramLabel = "KEY",
      defaultValue = "${env:CICADAFORD_KEY}",
      description = {
        "Team's key. Prefer the environment variable CICADAFORD_KEY: other users of the machine"
            + " can see the command line."
      })
  private String key;

  private final Environment environment;

  /** Creates a session; picocli sets its options. */
  public Session(Environment environment) {
    this.environment = environment;
  }

  Environment environment() {
    return environment;
  }

  boolean isJson() {
    return output == OutputFormat.json;
  }

  /** Returns the team's key, or an empty string. */
  String key() {
    return key == null ? "" : key;
  }

  OpenLog openLog() throws CommandException {
    if (logAddress == null || logAddress.isBlank()) {
      throw new CommandException(
          ExitCode.USAGE, "the log's address is missing; set --log or CICADAFORD_LOG to HOST:PORT");
    }
    URI address = address(logAddress);
    return environment.logConnector().open(address.getHost(), address.getPort());
  }

  EntryClient openEntry() throws CommandException {
    return new EntryClient(entryUris(), environment.entryConnector());
  }

  List<URI> entryUris() throws CommandException {
    if (entryAddresses == null || entryAddresses.isEmpty()) {
      throw new CommandException(
          ExitCode.USAGE,
          "the entry daemons' address is missing; set --entry or CICADAFORD_ENTRY to HOST:PORT");
    }
    List<URI> uris = new ArrayList<>();
    for (String entryAddress : entryAddresses) {
      uris.add(address(entryAddress));
    }
    return uris;
  }

  private static URI address(String text) throws CommandException {
    try {
      URI uri = URI.create(text.startsWith("http://") ? text : "http://" + text);
      if (uri.getHost() != null && uri.getPort() > 0 && uri.getPort() < 65_536) {
        return uri;
      }
    } catch (IllegalArgumentException e) {
      throw new CommandException(
          ExitCode.USAGE, text + " is not an address; write HOST:PORT, such as 127.0.0.1:8080", e);
    }
    throw new CommandException(
        ExitCode.USAGE, text + " is not an address; write HOST:PORT, such as 127.0.0.1:8080");
  }
}
