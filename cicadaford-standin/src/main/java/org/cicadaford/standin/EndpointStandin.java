package org.cicadaford.standin;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.LongAdder;
import org.cicadaford.model.Resources;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.PlatformRoutes;

/** Simulates an endpoint of a service that answers each call with the body of the request. */
public final class EndpointStandin {

  /** Path that returns the execution counts. */
  public static final String EXECUTIONS = "/executions";

  private final Settings settings;
  private final Semaphore slots;
  private final StandinServer server = new StandinServer(this::handle, faults -> {});
  private final Map<String, LongAdder> executions = new ConcurrentHashMap<>();
  private final LongAdder startedWhileLeaving = new LongAdder();
  private final LongAdder refused = new LongAdder();

  /**
   * Configures a simulated endpoint.
   *
   * @param slotCount maximum number of concurrent calls
   * @param serviceMillis duration of each call
   */
  public record Settings(
      String endpointId,
      String service,
      String zone,
      String rack,
      int port,
      int slotCount,
      long serviceMillis) {}

  /**
   * Holds the call counts of an endpoint.
   *
   * @param executions number of executions by request id
   * @param refused calls that were refused before they started
   * @param startedWhileLeaving calls that started while the endpoint was leaving
   */
  public record Counts(Map<String, Long> executions, long refused, long startedWhileLeaving) {}

  /** Creates an endpoint that is not started yet. */
  public EndpointStandin(Settings settings) {
    this.settings = settings;
    this.slots = new Semaphore(settings.slotCount());
  }

  /** Starts the HTTP server. */
  public void start() throws IOException {
    server.start(settings.port());
  }

  /** Stops the HTTP server. */
  public void stop() {
    server.stop();
  }

  /** Returns the TCP port of the server. */
  public int port() {
    return server.port();
  }

  /** Replaces the active faults. */
  public void setFaults(Faults faults) {
    server.setFaults(faults);
  }

  /** Returns the announcement of this endpoint; empty while the endpoint is paused. */
  public List<Member> announcement() {
    return server.faults().paused() ? List.of() : List.of(member());
  }

  /** Returns the membership entry of this endpoint. */
  public Member member() {
    return new Member(
        settings.endpointId(),
        Member.Role.ENDPOINT,
        settings.zone(),
        settings.rack(),
        "127.0.0.1",
        port(),
        0,
        settings.service(),
        Resources.NONE,
        server.faults().leaving() ? Member.State.LEAVING : Member.State.LIVE);
  }

  /** Returns the counts since the endpoint was created. */
  public Counts counts() {
    Map<String, Long> countsByRequestId = new ConcurrentHashMap<>();
    executions.forEach((requestId, count) -> countsByRequestId.put(requestId, count.sum()));
    return new Counts(countsByRequestId, refused.sum(), startedWhileLeaving.sum());
  }

  private HttpAnswer handle(HttpExchange exchange, byte[] body) throws InterruptedException {
    String path = exchange.getRequestURI().getPath();
    if (path.equals(EXECUTIONS)) {
      return HttpAnswer.json(counts());
    }
    String requestId = exchange.getRequestHeaders().getFirst(PlatformRoutes.REQUEST_ID_HEADER);
    if (!path.equals(PlatformRoutes.CALL) || requestId == null) {
      return HttpAnswer.empty(404);
    }
    if (server.faults().refuse() || !slots.tryAcquire()) {
      refused.increment();
      return new HttpAnswer(
          503,
          "text/plain",
          new byte[0],
          Map.of(
              PlatformRoutes.REQUEST_ID_HEADER,
              requestId,
              PlatformRoutes.NOT_STARTED_HEADER,
              "true"));
    }
    try {
      return executeCall(requestId, exchange, body);
    } finally {
      slots.release();
    }
  }

  private HttpAnswer executeCall(String requestId, HttpExchange exchange, byte[] body)
      throws InterruptedException {
    executions.computeIfAbsent(requestId, id -> new LongAdder()).increment();
    if (server.faults().leaving()) {
      startedWhileLeaving.increment();
    }
    Thread.sleep(settings.serviceMillis());
    server.delay();
    String contentType = exchange.getRequestHeaders().getFirst("Content-Type");
    return new HttpAnswer(
        200,
        contentType == null ? "application/octet-stream" : contentType,
        body,
        Map.of(PlatformRoutes.REQUEST_ID_HEADER, requestId));
  }
}
