package org.cicadaford.cli;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import org.cicadaford.cli.internal.command.Environment;
import org.cicadaford.cli.internal.command.LogConnector.OpenLog;
import org.cicadaford.cli.internal.entry.EntryConnector;
import org.cicadaford.cli.internal.entry.EntryFailureException;
import org.cicadaford.model.Resources;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.Member.Role;
import org.cicadaford.platform.Member.State;
import org.cicadaford.platform.MembershipService;
import picocli.CommandLine;

/** Runs commands in this process against a log in memory. */
public final class CommandRunner {

  /** Initial clock time. */
  public static final long NOW_MILLIS = 1_800_000_000_000L;

  /** Current clock time. */
  public long nowMillis = NOW_MILLIS;

  /** The log that commands use. */
  public final FakeLog log = new FakeLog();

  /** Answers requests to entry daemons. */
  public EntryConnector entryConnector =
      (daemon, request) -> {
        throw new EntryFailureException(false, "connection refused", null);
      };

  /** Standard input of the next command. */
  public String input = "";

  /**
   * Holds the result of a command.
   *
   * @param exitCode its exit code
   * @param out its standard output
   * @param err its standard error
   */
  public record Outcome(int exitCode, String out, String err) {}

  /** Runs a command. */
  public Outcome run(String... arguments) {
    StringWriter out = new StringWriter();
    StringWriter err = new StringWriter();
    Environment environment =
        new Environment(
            (host, port) -> new OpenLog(log, membership(), () -> {}),
            (daemon, request) -> entryConnector.send(daemon, request),
            new SecureRandom(),
            () -> nowMillis,
            millis -> {},
            new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)));
    CommandLine line = CicadafordMain.commandLine(environment);
    line.setOut(new PrintWriter(out));
    line.setErr(new PrintWriter(err));
    List<String> all = new ArrayList<>(List.of(arguments));
    all.add("--log=127.0.0.1:1");
    all.add("--entry=127.0.0.1:2,127.0.0.1:3");
    int exitCode = line.execute(all.toArray(String[]::new));
    return new Outcome(exitCode, out.toString(), err.toString());
  }

  private static MembershipService membership() {
    return new MembershipService() {
      @Override
      public List<Member> list() {
        return List.of(
            new Member(
                "w",
                Role.WORKER,
                "Siliguri",
                "r",
                "127.0.0.1",
                1,
                0,
                "",
                Resources.NONE,
                State.LIVE));
      }

      @Override
      public void announce(Member member) {
        throw new UnsupportedOperationException("the command line announces nothing");
      }
    };
  }

  /** Creates a directory with one description file. */
  public static Path directoryWith(String text) {
    try {
      Path directory = Files.createTempDirectory("published");
      Path file = Files.writeString(directory.resolve("all.cicadaford.yaml"), text);
      directory.toFile().deleteOnExit();
      file.toFile().deleteOnExit();
      return directory;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns a file with one team, one queue and a batch job for each name. */
  public static String describing(String... names) {
    StringBuilder text =
        new StringBuilder(
            "teams:\n  - {name: counters, quota: 40}\nqueues:\n  - name: counter\njobs:\n");
    for (String name : names) {
      text.append("  - {name: ")
          .append(name)
          .append(", team: counters, kind: batch, queue: counter, processors: 1,")
          .append(" memory: 1GiB, program: echo done, zones: [Kolkata, Finistère]}\n");
    }
    return text.toString();
  }
}
