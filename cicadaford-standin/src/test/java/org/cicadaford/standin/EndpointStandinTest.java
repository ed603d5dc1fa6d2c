package org.cicadaford.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cicadaford.platform.EndpointAnswer;
import org.cicadaford.platform.EndpointCall;
import org.cicadaford.platform.EndpointException;
import org.cicadaford.platform.EndpointException.Kind;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.PlatformClients;
import org.cicadaford.platform.PlatformSettings;

/** Guards against an endpoint that executes a refused call or miscounts executions. */
class EndpointStandinTest {

  private final EndpointStandin endpoint =
      new EndpointStandin(new EndpointStandin.Settings("e", "s", "z", "r", 0, 1, 0));
  private final PlatformClients clients =
      new PlatformClients(new PlatformSettings("127.0.0.1", 1, 500, 2_000, 1000, 100_000, 4));

  @BeforeTry
  void start() throws Exception {
    endpoint.start();
    clients.start();
  }

  @AfterTry
  void stop() {
    clients.stop();
    endpoint.stop();
  }

  private CompletableFuture<EndpointAnswer> call(String requestId, long timeoutMillis) {
    EndpointCall call = new EndpointCall(requestId, "text/plain", "hi".getBytes(), timeoutMillis);
    return clients.endpointService().call(endpoint.member(), call);
  }

  private Kind kindOfFailure(CompletableFuture<EndpointAnswer> answer) {
    try {
      throw new AssertionError("answered: " + answer.join());
    } catch (CompletionException e) {
      return ((EndpointException) e.getCause()).kind();
    }
  }

  private String send(String path, String body) throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + endpoint.port() + path));
    if (!body.isEmpty()) {
      request.POST(HttpRequest.BodyPublishers.ofString(body));
    }
    try (HttpClient client = HttpClient.newHttpClient()) {
      return client.send(request.build(), HttpResponse.BodyHandlers.ofString()).body();
    }
  }

  @Example
  void callIsAnsweredAndCounted() throws Exception {
    EndpointAnswer answer = call("r1", 5_000).join();

    assertThat(new String(answer.body())).isEqualTo("hi");
    assertThat(answer.contentType()).isEqualTo("text/plain");
    assertThat(send(EndpointStandin.EXECUTIONS, "")).contains("\"r1\":1");
  }

  @Example
  void callBeyondTheSlotsIsRefusedBeforeItStarts() throws Exception {
    send("/faults", "{\"slowMillis\": 1000}");
    CompletableFuture<EndpointAnswer> running = call("r1", 5_000);
    while (!endpoint.counts().executions().containsKey("r1")) {
      Thread.sleep(5);
    }

    assertThat(kindOfFailure(call("r2", 5_000))).isEqualTo(Kind.NOT_STARTED);
    assertThat(running.join().statusCode()).isEqualTo(200);
    assertThat(endpoint.counts().executions()).doesNotContainKey("r2");
  }

  @Example
  void callsWithLostAnswerOrTimeoutHaveUnknownOutcomeAndRan() throws Exception {
    send("/faults", "{\"lostAnswers\": 1}");
    assertThat(kindOfFailure(call("r1", 5_000))).isEqualTo(Kind.OUTCOME_UNKNOWN);
    send("/faults", "{\"slowMillis\": 2000}");
    assertThat(kindOfFailure(call("r2", 100))).isEqualTo(Kind.OUTCOME_UNKNOWN);

    assertThat(endpoint.counts().executions()).containsKeys("r1", "r2");
  }

  @Example
  void refuseAndLeavingFaultsTakeEffect() throws Exception {
    send("/faults", "{\"refuse\": true, \"leaving\": true}");
    assertThat(kindOfFailure(call("r1", 5_000))).isEqualTo(Kind.NOT_STARTED);
    assertThat(endpoint.member().state()).isEqualTo(Member.State.LEAVING);
    send("/faults", "{\"leaving\": true}");
    call("r2", 5_000).join();

    assertThat(endpoint.counts().startedWhileLeaving()).isEqualTo(1);
    assertThat(endpoint.counts().refused()).isEqualTo(1);
  }
}
