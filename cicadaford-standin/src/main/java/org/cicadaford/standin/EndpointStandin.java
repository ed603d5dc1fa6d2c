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

/** Stands in for one endpoint of a service, which answers each call with the call's own body. */
public final class EndpointStandin {

  /** Path of the counts of executions. */
  public static final String EXECUTIONS = "/executions";

  private final Settings settings;
  private final Semaphore slots;
  private final StandinServer server = new StandinServer(this::handle, faults -> {});
  private final Map<String, LongAdder> executions = new ConcurrentHashMap<>();
  private final LongAdder startedWhileLeaving = new LongAdder();
  private final LongAdder refused = new LongAdder();

  /**
   * Describes an endpoint.
   *
   * @param slotCount number of calls that run at once
   * @param serviceMillis time that each call takes
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
   * Counts of an endpoint.
   *
   * @param executions number of executions by request id
   * @param refused calls that were refused before they started
   * @param startedWhileLeaving calls that started while the endpoint was leaving
   */
  public record Counts(Map<String, Long> executions, long refused, long startedWhileLeaving) {}

  /** Creates an endpoint. */
  public EndpointStandin(Settings settings) {
    this.settings = settings;
    this.slots = new Semaphore(settings.slotCount());
  }

  /** Starts to serve. */
  public void start() throws IOException {
    server.start(settings.port());
  }

  /** Stops to serve. */
  public void stop() {
    server.stop();
  }

  /** Returns the TCP port. */
  public int port() {
    return server.port();
  }

  /** Replaces the fault switches. */
  public void setFaults(Faults faults) {
    server.setFaults(faults);
  }

  /** Returns what is to be announced now; nothing while the endpoint is paused. */
  public List<Member> announcement() {
    return server.faults().paused() ? List.of() : List.of(member());
  }

  /** Returns this endpoint as the list is to show it. */
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

  /** Returns the counts since the start. */
  public Counts counts() {
    Map<String, Long> byId = new ConcurrentHashMap<>();
    executions.forEach((requestId, count) -> byId.put(requestId, count.sum()));
    return new Counts(byId, refused.sum(), startedWhileLeaving.sum());
  }

  private Answer handle(HttpExchange exchange, byte[] body) throws InterruptedException {
    String path = exchange.getRequestURI().getPath();
    if (path.equals(EXECUTIONS)) {
      return Answer.json(counts());
    }
    String requestId = exchange.getRequestHeaders().getFirst(PlatformRoutes.REQUEST_ID_HEADER);
    if (!path.equals(PlatformRoutes.CALL) || requestId == null) {
      return Answer.empty(404);
    }
    if (server.faults().refuse() || !slots.tryAcquire()) {
      refused.increment();
      return new Answer(
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
      return run(requestId, exchange, body);
    } finally {
      slots.release();
    }
  }

  private Answer run(String requestId, HttpExchange exchange, byte[] body)
      throws InterruptedException {
    executions.computeIfAbsent(requestId, id -> new LongAdder()).increment();
    if (server.faults().leaving()) {
      startedWhileLeaving.increment();
    }
    Thread.sleep(settings.serviceMillis());
    server.delay();
    String contentType = exchange.getRequestHeaders().getFirst("Content-Type");
    return new Answer(
        200,
        contentType == null ? "application/octet-stream" : contentType,
        body,
        Map.of(PlatformRoutes.REQUEST_ID_HEADER, requestId));
  }
}
