package org.cicadaford.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** Serves HTTP on loopback and injects the faults that are set at {@code /faults}. */
final class StandinServer {

  static final String FAULTS = "/faults";

  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final long PAUSE_POLL_MILLIS = 5;
  private static final ObjectMapper JSON =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES, false);

  static {
    // Without no-delay, an answer waits up to 40 ms for the acknowledgement of its first segment.
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "10000");
  }

  /** Handles requests that no fault intercepts. */
  interface Handler {
    HttpAnswer handle(HttpExchange exchange, byte[] body) throws Exception;
  }

  private final Handler handler;
  private final Consumer<Faults> faultsListener;
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final Set<InetSocketAddress> knownConnections = ConcurrentHashMap.newKeySet();
  private final Set<InetSocketAddress> silentConnections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger answersToDrop = new AtomicInteger();
  private volatile Faults faults = Faults.NONE;
  private HttpServer server;

  StandinServer(Handler handler, Consumer<Faults> faultsListener) {
    this.handler = handler;
    this.faultsListener = faultsListener;
  }

  void start(int port) throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 0);
    server.setExecutor(executor);
    server.createContext("/", this::serve);
    server.start();
  }

  void stop() {
    server.stop(0);
    executor.shutdownNow();
  }

  int port() {
    return server.getAddress().getPort();
  }

  Faults faults() {
    return faults;
  }

  void setFaults(Faults newFaults) {
    if (newFaults.silence()) {
      silentConnections.addAll(knownConnections);
    }
    answersToDrop.set(newFaults.lostAnswers());
    faults = newFaults;
    faultsListener.accept(newFaults);
  }

  /** Waits for the request delay of the active faults. */
  void delay() throws InterruptedException {
    Thread.sleep(faults.slowMillis());
  }

  private void serve(HttpExchange exchange) throws IOException {
    try {
      byte[] body = exchange.getRequestBody().readNBytes(MAX_BODY_BYTES + 1);
      if (body.length > MAX_BODY_BYTES) {
        send(exchange, HttpAnswer.empty(413));
      } else if (exchange.getRequestURI().getPath().equals(FAULTS)) {
        send(exchange, handleFaultsRequest(exchange, body));
      } else {
        serveWithFaults(exchange, body);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      exchange.close();
    }
  }

  private HttpAnswer handleFaultsRequest(HttpExchange exchange, byte[] body) throws IOException {
    if (exchange.getRequestMethod().equals("GET")) {
      return HttpAnswer.json(faults);
    }
    try {
      setFaults(JSON.readValue(body, Faults.class));
      return HttpAnswer.empty(204);
    } catch (JsonProcessingException e) {
      return HttpAnswer.text(400, e.getOriginalMessage());
    }
  }

  private void serveWithFaults(HttpExchange exchange, byte[] body)
      throws IOException, InterruptedException {
    InetSocketAddress connection = exchange.getRemoteAddress();
    knownConnections.add(connection);
    if (silentConnections.contains(connection)) {
      return;
    }
    waitWhilePaused();
    HttpAnswer answer = faults.down() ? HttpAnswer.empty(503) : handle(exchange, body);
    waitWhilePaused();
    if (silentConnections.contains(connection)) {
      return;
    }
    if (answersToDrop.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
      exchange.close();
      return;
    }
    send(exchange, answer);
  }

  private void waitWhilePaused() throws InterruptedException {
    while (faults.paused()) {
      Thread.sleep(PAUSE_POLL_MILLIS);
    }
  }

  private HttpAnswer handle(HttpExchange exchange, byte[] body) throws InterruptedException {
    try {
      return handler.handle(exchange, body);
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      return HttpAnswer.text(400, String.valueOf(e.getMessage()));
    }
  }

  private static void send(HttpExchange exchange, HttpAnswer answer) throws IOException {
    exchange.getResponseHeaders().set("Content-Type", answer.contentType());
    answer.headers().forEach(exchange.getResponseHeaders()::set);
    int length = answer.body().length;
    exchange.sendResponseHeaders(answer.statusCode(), length == 0 ? -1 : length);
    exchange.getResponseBody().write(answer.body());
    exchange.close();
  }
}
