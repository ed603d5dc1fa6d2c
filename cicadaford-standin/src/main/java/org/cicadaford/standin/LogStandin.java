package org.cicadaford.standin;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.OffsetExpiredException;
import org.cicadaford.platform.PlatformRoutes;
import org.cicadaford.platform.PlatformRoutes.Appended;
import org.cicadaford.platform.PlatformRoutes.Expired;
import org.cicadaford.platform.PlatformRoutes.MemberList;

/** Simulates the platform's log and membership list in memory. */
public final class LogStandin {

  private static final long MAX_LAG_MILLIS = 600_000;

  private final Settings settings;
  private final StandinServer server = new StandinServer(this::handle, this::applyFaults);
  private final Map<String, RetainedStream> streams = new ConcurrentHashMap<>();
  private final LaggingMemberList members;
  private long windowStartMillis;
  private int appendsInWindow;

  /**
   * Configures the log and the membership list.
   *
   * @param port TCP port, or 0 for a free port
   * @param retentionMillis maximum age of records
   * @param retentionCount maximum number of records in each stream
   * @param lagMillis lag of the membership list
   * @param expiryMillis time after its last announcement at which an instance leaves the list
   * @param maxAppendsPerSecond appends beyond this rate are refused; 0 means no limit
   */
  public record Settings(
      int port,
      long retentionMillis,
      int retentionCount,
      long lagMillis,
      long expiryMillis,
      int maxAppendsPerSecond) {

    /** Settings for tests, with no lag and long retention. */
    public static final Settings DEFAULT = new Settings(0, 3_600_000, 1_000_000, 0, 5_000, 0);
  }

  /** Creates a log without streams. */
  public LogStandin(Settings settings) {
    this.settings = settings;
    this.members = new LaggingMemberList(settings.expiryMillis());
  }

  /** Starts the HTTP server. */
  public void start() throws IOException {
    server.start(settings.port());
  }

  /** Stops the HTTP server; all records are lost. */
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

  private void applyFaults(Faults faults) {
    faults.expireBefore().forEach((stream, offset) -> stream(stream).expireBefore(offset));
  }

  private RetainedStream stream(String name) {
    return streams.computeIfAbsent(
        name,
        key -> new RetainedStream(key, settings.retentionMillis(), settings.retentionCount()));
  }

  private HttpAnswer handle(HttpExchange exchange, byte[] body) throws Exception {
    server.delay();
    String path = exchange.getRequestURI().getPath();
    boolean isPost = exchange.getRequestMethod().equals("POST");
    long nowMillis = System.currentTimeMillis();
    if (path.equals(PlatformRoutes.MEMBERS)) {
      return isPost ? announce(body, nowMillis) : listMembers(exchange, nowMillis);
    }
    if (!path.startsWith(PlatformRoutes.STREAMS)) {
      return HttpAnswer.empty(404);
    }
    String name = path.substring(PlatformRoutes.STREAMS.length());
    return isPost ? append(name, body, nowMillis) : read(name, exchange);
  }

  private HttpAnswer announce(byte[] body, long nowMillis) throws Exception {
    members.announce(RecordCodec.decode(body, Member.class), nowMillis);
    return HttpAnswer.empty(204);
  }

  private HttpAnswer listMembers(HttpExchange exchange, long nowMillis) throws Exception {
    Long overriddenLagMillis = server.faults().lagMillis();
    long lagMillis = overriddenLagMillis == null ? settings.lagMillis() : overriddenLagMillis;
    members.removeExpired(MAX_LAG_MILLIS, nowMillis);
    byte[] content = RecordCodec.encode(new MemberList(members.list(lagMillis, nowMillis)));
    Map<String, String> headers = Map.of("ETag", entityTag(content));
    boolean unchanged =
        headers.get("ETag").equals(exchange.getRequestHeaders().getFirst("If-None-Match"));
    return unchanged
        ? new HttpAnswer(304, PlatformRoutes.MESSAGE_PACK, new byte[0], headers)
        : new HttpAnswer(200, PlatformRoutes.MESSAGE_PACK, content, headers);
  }

  private static String entityTag(byte[] content) throws NoSuchAlgorithmException {
    byte[] digest = MessageDigest.getInstance("SHA-256").digest(content);
    return '"' + HexFormat.of().formatHex(digest) + '"';
  }

  private HttpAnswer append(String name, byte[] body, long nowMillis) {
    if (!countAppendWithinRate(nowMillis)) {
      return HttpAnswer.empty(503);
    }
    return HttpAnswer.messagePack(200, new Appended(stream(name).append(body, nowMillis)));
  }

  private synchronized boolean countAppendWithinRate(long nowMillis) {
    if (nowMillis >= windowStartMillis + 1_000) {
      windowStartMillis = nowMillis;
      appendsInWindow = 0;
    }
    appendsInWindow++;
    return settings.maxAppendsPerSecond() == 0 || appendsInWindow <= settings.maxAppendsPerSecond();
  }

  private HttpAnswer read(String name, HttpExchange exchange) throws InterruptedException {
    Map<String, String> query = parseQuery(exchange);
    long fromOffset = Long.parseLong(query.get("from"));
    int maxBytes = Integer.parseInt(query.get("maxBytes"));
    long waitMillis = Long.parseLong(query.get("waitMillis"));
    try {
      return HttpAnswer.messagePack(200, stream(name).read(fromOffset, maxBytes, waitMillis));
    } catch (OffsetExpiredException e) {
      return HttpAnswer.messagePack(410, new Expired(e.earliestOffset()));
    }
  }

  private static Map<String, String> parseQuery(HttpExchange exchange) {
    Map<String, String> values = new HashMap<>();
    for (String pair : exchange.getRequestURI().getQuery().split("&")) {
      String[] parts = pair.split("=", 2);
      values.put(parts[0], parts[1]);
    }
    return values;
  }
}
