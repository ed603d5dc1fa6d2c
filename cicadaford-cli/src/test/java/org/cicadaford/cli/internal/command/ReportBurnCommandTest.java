package org.cicadaford.cli.internal.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;
import org.cicadaford.cli.CommandRunner;
import org.cicadaford.cli.CommandRunner.Outcome;
import org.cicadaford.cli.internal.entry.EntryAnswer;
import org.cicadaford.cli.internal.entry.EntryFailureException;

/** Guards against a report that hides a daemon that was not scraped. */
class ReportBurnCommandTest {

  private final CommandRunner runner = new CommandRunner();
  private final Path directory = CommandRunner.directoryWith("");
  private final String samples = "--samples=" + directory.resolve("samples");
  private int scrapes;

  private void oneDaemonAnswers() {
    runner.entryConnector =
        (daemon, request) -> {
          if (daemon.getPort() == 3) {
            throw new EntryFailureException(true, "timeout", null);
          }
          String body =
              request.path().equals("/metrics")
                  ? "cicadaford_requests_total 10\ncicadaford_refusals_total{kind=\"overloaded\"} "
                      + scrapes++
                  : "{\"instanceId\":\"i\",\"zone\":{\"zone\":\"Kolkata\"}}";
          return new EntryAnswer(200, "", body.getBytes(StandardCharsets.UTF_8));
        };
  }

  @Example
  void eachRunAddsASampleAndNamesTheDaemonThatIsMissing() throws IOException {
    oneDaemonAnswers();
    Path html = directory.resolve("burn.html");

    Outcome first = runner.run("report", "burn", samples);
    runner.nowMillis += 60_000;
    Outcome second = runner.run("report", "burn", samples, "--output=json", "--html=" + html);

    assertThat(first.exitCode()).isZero();
    assertThat(first.err()).contains("127.0.0.1:3 was not scraped");
    assertThat(second.out()).contains("\"sampleCount\" : 2", "\"zone\" : \"Kolkata\"");
    assertThat(Files.readString(html)).contains("<td>Kolkata</td>");
    Files.delete(html);
    Files.delete(directory.resolve("samples"));
  }

  @Example
  void noDaemonAtAllIsUnreachableAndTheFileCanStillBeReported() {
    assertThat(runner.run("report", "burn", samples).exitCode()).isEqualTo(3);
    assertThat(runner.run("report", "burn", samples, "--no-scrape").exitCode()).isZero();
  }

  @Example
  void faultyTargetsAreUsageErrors() {
    assertThat(runner.run("report", "burn", samples, "--target=answered=1").exitCode())
        .isEqualTo(2);
    assertThat(runner.run("report", "burn", samples, "--target=anwered=0.9").exitCode())
        .isEqualTo(2);
    assertThat(runner.run("report", "burn").exitCode()).isEqualTo(2);
  }
}
