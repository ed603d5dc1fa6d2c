package org.cicadaford.cli.internal.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import net.jqwik.api.Example;

/** Guards against a request that was sent being taken for one that was not, and lost bodies. */
class HttpEntryConnectorTest {

  private final HttpEntryConnector connector = new HttpEntryConnector();

  private static EntryRequest post(String body) {
    return new EntryRequest(
        "POST",
        "/v1/jobs",
        Map.of("Cicadaford-Key", "k"),
        "application/json",
        body.getBytes(StandardCharsets.UTF_8),
        300);
  }

  private static URI address(int port) {
    return URI.create("http://127.0.0.1:" + port);
  }

  @Example
  void bodiesArriveWholeWhateverTheStatus() throws Exception {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.createContext(
        "/v1/jobs",
        exchange -> {
          byte[] body = exchange.getRequestBody().readAllBytes();
          exchange.getResponseHeaders().add("Content-Type", "application/problem+json");
          exchange.sendResponseHeaders(503, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    server.start();
    try {
      EntryAnswer answer =
          connector.send(address(server.getAddress().getPort()), post("{\"é\":1}"));
      assertThat(answer.statusCode()).isEqualTo(503);
      assertThat(answer.text()).isEqualTo("{\"é\":1}");
      assertThat(answer.contentType()).isEqualTo("application/problem+json");
    } finally {
      server.stop(0);
    }
  }

  @Example
  void refusedConnectionIsNotTakenForALostAnswer() throws IOException {
    int freePort;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      freePort = socket.getLocalPort();
    }
    assertThat(failure(freePort).maybeSent()).isFalse();
  }

  @Example
  void silentServerIsALostAnswer() throws IOException {
    try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      assertThat(failure(silent.getLocalPort()).maybeSent()).isTrue();
    }
  }

  private EntryFailureException failure(int port) {
    return catchThrowableOfType(
        EntryFailureException.class, () -> connector.send(address(port), post("{}")));
  }
}
