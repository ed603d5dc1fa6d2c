package org.cicadaford.cli.internal.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import net.jqwik.api.Example;
import org.cicadaford.cli.CommandRunner;
import org.cicadaford.cli.CommandRunner.Outcome;
import org.cicadaford.cli.internal.entry.EntryAnswer;
import org.cicadaford.cli.internal.entry.EntryFailureException;
import org.cicadaford.cli.internal.entry.EntryRequest;

/** Guards against requests that are sent twice, and refusals that are taken for success. */
class EntryCommandsTest {

  private final CommandRunner runner = new CommandRunner();
  private final List<EntryRequest> sent = new ArrayList<>();

  private void answer(int status, String body) {
    runner.entryConnector =
        (daemon, request) -> {
          sent.add(request);
          return new EntryAnswer(status, "application/json", body.getBytes(StandardCharsets.UTF_8));
        };
  }

  @Example
  void submitSendsTheKeyAndAnIdThatCarriesItsTime() {
    answer(202, "{\"jobId\":\"j1\"}");

    Outcome outcome = runner.run("submit", "prizes", "--key=secret", "--output=json");

    assertThat(outcome.out()).contains("\"jobId\" : \"j1\"");
    EntryRequest request = sent.getFirst();
    assertThat(request.headers()).containsEntry("Cicadaford-Key", "secret");
    UUID id = UUID.fromString(request.headers().get("Cicadaford-Request-Id"));
    assertThat(id.version()).isEqualTo(7);
    assertThat(id.variant()).isEqualTo(2);
    assertThat(id.getMostSignificantBits() >>> 16).isEqualTo(CommandRunner.NOW_MILLIS);
    assertThat(new String(request.body(), StandardCharsets.UTF_8))
        .isEqualTo("{\"description\":\"prizes\"}");
  }

  @Example
  void submitSendsADescriptionFoundBelowADirectory() {
    answer(202, "{}");
    String directory = CommandRunner.directoryWith(CommandRunner.describing("prizes")).toString();

    assertThat(runner.run("submit", "prizes", "--dir", directory).exitCode()).isZero();
    assertThat(new String(sent.getFirst().body(), StandardCharsets.UTF_8))
        .contains("\"name\":\"prizes\"", "\"processorsMillicores\":1000");
    assertThat(runner.run("submit", "prize", "--dir", directory).exitCode()).isEqualTo(1);
  }

  @Example
  void daemonThatWasNotReachedIsSkipped() {
    List<URI> asked = new ArrayList<>();
    runner.entryConnector =
        (daemon, request) -> {
          asked.add(daemon);
          if (asked.size() == 1) {
            throw new EntryFailureException(false, "refused", null);
          }
          return new EntryAnswer(
              200, "", "{\"zone\":\"Kolkata\"}".getBytes(StandardCharsets.UTF_8));
        };

    assertThat(runner.run("status").out()).contains("Kolkata");
    assertThat(asked).hasSize(2);
  }

  @Example
  void lostAnswerIsNotSentToAnotherDaemon() {
    runner.entryConnector =
        (daemon, request) -> {
          sent.add(request);
          throw new EntryFailureException(true, "timeout", null);
        };

    Outcome outcome = runner.run("call", "balance-check", "--data={}");

    assertThat(outcome.exitCode()).isEqualTo(4);
    assertThat(sent).hasSize(1);
    assertThat(outcome.err())
        .contains("with --request-id " + sent.getFirst().headers().get("Cicadaford-Request-Id"));
    assertThat(runner.run("status").exitCode()).isEqualTo(3);
    assertThat(runner.run("cancel", "j1").exitCode()).isEqualTo(4);
  }

  @Example
  void refusalsTellWhetherTheRequestRan() {
    answer(503, "{\"detail\":\"no endpoint is free\",\"ran\":\"not-run\",\"retryAfterMillis\":50}");
    Outcome refused = runner.run("call", "balance-check");
    assertThat(refused.exitCode()).isEqualTo(1);
    assertThat(refused.err()).contains("no endpoint is free (not-run); retry after 50ms");

    answer(504, "{\"detail\":\"no answer\",\"ran\":\"unknown\"}");
    assertThat(runner.run("call", "balance-check").exitCode()).isEqualTo(4);

    answer(502, "<html>bad gateway");
    assertThat(runner.run("status").err()).contains("status 502: <html>bad gateway");
  }

  @Example
  void jobIdsCannotChangeThePath() {
    answer(200, "{}");
    runner.run("status", "../status?x");
    assertThat(sent.getFirst().path()).isEqualTo("/v1/jobs/..%2Fstatus%3Fx");
  }

  @Example
  void helpAndCompletionExistForEveryCommand() {
    assertThat(runner.run("zone", "out", "--help").out()).contains("Exit codes:", "4   The answer");
    assertThat(runner.run("completion").out()).contains("complete", "publish");
  }
}
