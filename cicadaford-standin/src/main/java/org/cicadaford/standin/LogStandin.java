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

/** Stands in for the platform's log and its membership list. */
public final class LogStandin {

  private static final long MAX_LAG_MILLIS = 600_000;

  private final Settings settings;
  private final StandinServer server = new StandinServer(this::handle, this::applyFaults);
  private final Map<String, RetainedStream> streams = new ConcurrentHashMap<>();
  private final LaggingMemberList members;
  private long windowStartMillis;
  private int appendsInWindow;

  /**
   * Limits of the log and the list.
   *
   * @param port TCP port, or 0 for one that the system chooses
   * @param retentionMillis time for which records are kept
   * @param retentionCount number of records kept in each stream
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

    /** Settings for tests: no lag, and nothing expires soon. */
    public static final Settings DEFAULT = new Settings(0, 3_600_000, 1_000_000, 0, 5_000, 0);
  }

  /** Creates a log without streams. */
  public LogStandin(Settings settings) {
    this.settings = settings;
    this.members = new LaggingMemberList(settings.expiryMillis());
  }

  /** Starts to serve. */
  public void start() throws IOException {
    server.start(settings.port());
  }

  /** Stops to serve; all records are lost. */
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

  private void applyFaults(Faults faults) {
    faults.expireBefore().forEach((stream, offset) -> stream(stream).expireBefore(offset));
  }

  private RetainedStream stream(String name) {
    return streams.computeIfAbsent(
        name,
        key -> new RetainedStream(key, settings.retentionMillis(), settings.retentionCount()));
  }

  private Answer handle(HttpExchange exchange, byte[] body) throws Exception {
    server.delay();
    String path = exchange.getRequestURI().getPath();
    boolean isPost = exchange.getRequestMethod().equals("POST");
    long nowMillis = System.currentTimeMillis();
    if (path.equals(PlatformRoutes.MEMBERS)) {
      return isPost ? announce(body, nowMillis) : listMembers(exchange, nowMillis);
    }
    if (!path.startsWith(PlatformRoutes.STREAMS)) {
      return Answer.empty(404);
    }
    String name = path.substring(PlatformRoutes.STREAMS.length());
    return isPost ? append(name, body, nowMillis) : read(name, exchange);
  }

  private Answer announce(byte[] body, long nowMillis) throws Exception {
    members.announce(RecordCodec.decode(body, Member.class), nowMillis);
    return Answer.empty(204);
  }

  private Answer listMembers(HttpExchange exchange, long nowMillis) throws Exception {
    Long faultLagMillis = server.faults().lagMillis();
    long lagMillis = faultLagMillis == null ? settings.lagMillis() : faultLagMillis;
    members.forget(MAX_LAG_MILLIS, nowMillis);
    byte[] content = RecordCodec.encode(new MemberList(members.list(lagMillis, nowMillis)));
    Map<String, String> headers = Map.of("ETag", entityTag(content));
    boolean unchanged =
        headers.get("ETag").equals(exchange.getRequestHeaders().getFirst("If-None-Match"));
    return unchanged
        ? new Answer(304, PlatformRoutes.MESSAGE_PACK, new byte[0], headers)
        : new Answer(200, PlatformRoutes.MESSAGE_PACK, content, headers);
  }

  private static String entityTag(byte[] content) throws NoSuchAlgorithmException {
    byte[] digest = MessageDigest.getInstance("SHA-256").digest(content);
    return '"' + HexFormat.of().formatHex(digest) + '"';
  }

  private Answer append(String name, byte[] body, long nowMillis) {
    if (!mayAppend(nowMillis)) {
      return Answer.empty(503);
    }
    return Answer.messagePack(200, new Appended(stream(name).append(body, nowMillis)));
  }

  private synchronized boolean mayAppend(long nowMillis) {
    if (nowMillis >= windowStartMillis + 1_000) {
      windowStartMillis = nowMillis;
      appendsInWindow = 0;
    }
    appendsInWindow++;
    return settings.maxAppendsPerSecond() == 0 || appendsInWindow <= settings.maxAppendsPerSecond();
  }

  private Answer read(String name, HttpExchange exchange) throws InterruptedException {
    Map<String, String> query = query(exchange);
    long fromOffset = Long.parseLong(query.get("from"));
    int maxBytes = Integer.parseInt(query.get("maxBytes"));
    long waitMillis = Long.parseLong(query.get("waitMillis"));
    try {
      return Answer.messagePack(200, stream(name).read(fromOffset, maxBytes, waitMillis));
    } catch (OffsetExpiredException e) {
      return Answer.messagePack(410, new Expired(e.earliestOffset()));
    }
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> values = new HashMap<>();
    for (String pair : exchange.getRequestURI().getQuery().split("&")) {
      String[] parts = pair.split("=", 2);
      values.put(parts[0], parts[1]);
    }
    return values;
  }
}
