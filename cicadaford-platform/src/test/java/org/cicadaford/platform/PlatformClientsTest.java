package org.cicadaford.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.concurrent.CompletionException;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cicadaford.model.Resources;
import org.cicadaford.platform.EndpointException.Kind;

/**
 * Guards against reporting a request as not executed when its outcome is unknown, and against
 * passing on truncated or mismatched responses.
 */
class PlatformClientsTest {

  private static final String REQUEST_ID_HEADER = "Cicadaford-Request-Id: r1\r\n";

  private ScriptedServer server;
  private PlatformClients clients;

  @BeforeTry
  void start() throws Exception {
    server = new ScriptedServer();
    clients =
        new PlatformClients(
            new PlatformSettings("127.0.0.1", server.port(), 500, 2_000, 1000, 1000, 4));
    clients.start();
  }

  @AfterTry
  void stop() throws Exception {
    clients.stop();
    server.close();
  }

  private static String response(String status, String headers, String body) {
    return "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s"
        .formatted(status, headers, body.length(), body);
  }

  private EndpointAnswer call() {
    Member endpoint =
        new Member(
            "e1",
            Member.Role.ENDPOINT,
            "zone",
            "rack",
            "127.0.0.1",
            server.port(),
            0,
            "service",
            Resources.NONE,
            Member.State.LIVE);
    return clients
        .endpointService()
        .call(endpoint, new EndpointCall("r1", "text/plain", "question".getBytes(), 2_000))
        .join();
  }

  private Kind kindOfFailedCall() {
    try {
      throw new AssertionError("answered: " + call());
    } catch (CompletionException e) {
      return ((EndpointException) e.getCause()).kind();
    }
  }

  @Example
  void completeAnswerIsReturnedWhateverItsStatus() {
    server.thenRespond(
        response("200 OK", REQUEST_ID_HEADER + "Content-Type: text/plain\r\n", "fine"));
    server.thenRespond(response("503 Busy", REQUEST_ID_HEADER, ""));

    EndpointAnswer answer = call();

    assertThat(new String(answer.body())).isEqualTo("fine");
    assertThat(answer.contentType()).isEqualTo("text/plain");
    assertThat(call().statusCode()).isEqualTo(503);
  }

  @Example
  void onlyARefusalWithThisRequestIdIsNotStarted() {
    String notStarted = "Cicadaford-Not-Started: true\r\n";
    server.thenRespond(response("503 Busy", REQUEST_ID_HEADER + notStarted, ""));
    server.thenRespond(response("503 Busy", "Cicadaford-Request-Id: r2\r\n" + notStarted, ""));

    assertThat(kindOfFailedCall()).isEqualTo(Kind.NOT_STARTED);
    assertThat(kindOfFailedCall()).isEqualTo(Kind.OUTCOME_UNKNOWN);
  }

  @Example
  void refusedConnectionIsNotStartedAndNotAppended() throws Exception {
    server.close();

    assertThat(kindOfFailedCall()).isEqualTo(Kind.NOT_STARTED);
    assertThatThrownBy(() -> clients.logService().append("s", new byte[1]))
        .isInstanceOf(LogUnavailableException.class);
  }

  @Example
  void answerWithAnotherOrNoRequestIdIsOutcomeUnknown() {
    server.thenRespond(response("200 OK", "Cicadaford-Request-Id: r2\r\n", "other"));
    server.thenRespond(response("200 OK", "", "nobody's"));

    assertThat(kindOfFailedCall()).isEqualTo(Kind.OUTCOME_UNKNOWN);
    assertThat(kindOfFailedCall()).isEqualTo(Kind.OUTCOME_UNKNOWN);
  }

  @Example
  void truncatedOrTooLargeOrRedirectAnswerIsOutcomeUnknown() {
    server.thenRespond(
        "HTTP/1.1 200 OK\r\n" + REQUEST_ID_HEADER + "Content-Length: 20\r\n\r\nhalf…");
    server.thenRespond("HTTP/1.1 200 OK\r\n" + REQUEST_ID_HEADER + "\r\nends with the connection…");
    server.thenRespond("…");
    server.thenRespond(response("200 OK", REQUEST_ID_HEADER, "x".repeat(2000)));
    server.thenRespond("HTTP/1.1 307 Elsewhere\r\nLocation: /call\r\nContent-Length: 0\r\n\r\n");

    for (int attempt = 0; attempt < 5; attempt++) {
      assertThat(kindOfFailedCall()).isEqualTo(Kind.OUTCOME_UNKNOWN);
    }
    assertThat(server.requestCount).as("number of requests sent, without retries").hasValue(5);
  }

  @Example
  void unresponsiveConnectionIsClosedAndNotReused() throws Exception {
    server
        .thenRespond(response("200 OK", REQUEST_ID_HEADER, "a"))
        .thenRespond(ScriptedServer.NO_RESPONSE);
    server.thenRespond(response("200 OK", REQUEST_ID_HEADER, "b"));

    call();
    assertThat(kindOfFailedCall()).isEqualTo(Kind.OUTCOME_UNKNOWN);
    assertThat(new String(call().body())).isEqualTo("b");

    assertThat(server.connectionCount).hasValue(2);
    while (server.closedByClientCount.get() < 1) {
      Thread.sleep(5);
    }
  }

  @Example
  void appendIsUnavailableOnlyIfItWasDefinitelyRefused() {
    server.thenRespond(response("503 Down", "", ""));
    server.thenRespond(ScriptedServer.NO_RESPONSE);
    server.thenRespond("…");
    server.thenRespond(response("500 Error", "", ""));
    server.thenRespond(response("200 OK", "", "junk"));

    assertThatThrownBy(() -> clients.logService().append("s", new byte[1]))
        .isInstanceOf(LogUnavailableException.class);
    for (int attempt = 0; attempt < 4; attempt++) {
      assertThatThrownBy(() -> clients.logService().append("s", new byte[1]))
          .isInstanceOf(LogOutcomeUnknownException.class);
    }
    assertThatThrownBy(() -> clients.logService().append("s", new byte[2000]))
        .isInstanceOf(LogUnavailableException.class);
  }
}
