package review;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stands in for the platform's metadata store in its form of a log, as PROTOCOL.md describes it:
 * partitions that process one append at a time, producers with epochs, conditional appends, and the
 * newest record of each key. Sizes, times and rates are those of a small site.
 */
final class Store implements HttpEndpoint.Handler {

  static final int RECORD_BYTES = 262_144;
  static final int CALL_BYTES = 2_097_152;
  private static final long APPEND_MILLIS = 4;
  private static final double BYTES_PER_MILLI = 20_000_000 / 1_000.0;
  private static final int PAGE_ITEMS = 500;
  private static final int PAGE_BYTES = 1 << 20;
  private static final int REMEMBERED_APPENDS = 5;

  private static final class Topic {
    private final List<byte[]> records = new ArrayList<>();
    private final TreeMap<String, byte[]> newest = new TreeMap<>();
    private final TreeMap<String, Long> newestOffset = new TreeMap<>();
    private final LinkedHashMap<Long, HttpEndpoint.Response> answers = new LinkedHashMap<>();
    private final Object appendTurn = new Object();
    private long first;
    private long epoch = -1;
    private long sequence = -1;
  }

  private final Map<String, Topic> topics = new HashMap<>();
  private final HttpEndpoint endpoint;
  private final Record record;
  private int oversized;
  private long storedBytes;

  Store(Record record) throws IOException {
    this.record = record;
    endpoint = new HttpEndpoint(this);
  }

  String address() {
    return endpoint.address();
  }

  void stop() {
    endpoint.stop();
  }

  private synchronized Topic topic(String name) {
    return topics.computeIfAbsent(name, key -> new Topic());
  }

  /** Writes a record as the operator or a runner does; an empty value drops the key. */
  void put(String topicName, String key, String value) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer content = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
    content.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
    Topic topic = topic(topicName);
    synchronized (topic) {
      add(topic, content.array());
      topic.notifyAll();
    }
  }

  /** Number of appends that were refused because of the size of a record or of the call. */
  synchronized int oversized() {
    return oversized;
  }

  /** Number of bytes of all records that were stored, also of those that a trim would drop. */
  synchronized long storedBytes() {
    return storedBytes;
  }

  private static void add(Topic topic, byte[] content) {
    topic.records.add(content);
    int keyLength = content.length == 0 ? 0 : content[0] & 0xff;
    if (keyLength == 0 || keyLength > content.length - 1) {
      return;
    }
    String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
    if (content.length == 1 + keyLength) {
      topic.newest.remove(key);
      topic.newestOffset.remove(key);
    } else {
      topic.newest.put(key, java.util.Arrays.copyOfRange(content, 1 + keyLength, content.length));
      topic.newestOffset.put(key, topic.records.size() - 1L);
    }
  }

  @Override
  public HttpEndpoint.Response handle(HttpEndpoint.Request request) throws Exception {
    Map<String, String> query = parse(request.query());
    return switch (request.path()) {
      case "/log-append" -> append(query, request.body());
      case "/log-read" -> read(query);
      case "/log-newest" -> newest(query);
      default -> HttpEndpoint.Response.json(400, "{}");
    };
  }

  private static Map<String, String> parse(String query) {
    Map<String, String> values = new HashMap<>();
    for (String part : query.split("&")) {
      int equals = part.indexOf('=');
      if (equals > 0) {
        values.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  private HttpEndpoint.Response append(Map<String, String> query, byte[] body)
      throws InterruptedException {
    String name = query.getOrDefault("topic", "");
    if (name.equals("keyed.op") || name.equals("keyed.servers")) {
      return HttpEndpoint.Response.json(403, "{}");
    }
    Topic topic = topic(name);
    synchronized (topic.appendTurn) {
      Thread.sleep(APPEND_MILLIS + (long) (body.length / BYTES_PER_MILLI));
      synchronized (topic) {
        return append(topic, query, body);
      }
    }
  }

  private HttpEndpoint.Response append(Topic topic, Map<String, String> query, byte[] body) {
    List<byte[]> contents = new ArrayList<>();
    ByteBuffer buffer = ByteBuffer.wrap(body);
    int largest = 0;
    while (buffer.remaining() >= 4) {
      byte[] content = new byte[buffer.getInt()];
      buffer.get(content);
      contents.add(content);
      largest = Math.max(largest, content.length);
    }
    boolean fenced = query.containsKey("producer");
    long epoch = Long.parseLong(query.getOrDefault("epoch", "0"));
    long sequence = Long.parseLong(query.getOrDefault("seq", "0"));
    if (fenced && epoch < topic.epoch) {
      return HttpEndpoint.Response.json(409, "{\"reason\":\"fenced\"}");
    }
    if (largest > RECORD_BYTES || body.length > CALL_BYTES) {
      synchronized (this) {
        oversized++;
        if (oversized <= 20 || oversized % 100 == 0) {
          record.line(
              "store: append refused, largest record " + largest + " bytes, call " + body.length);
        }
      }
      return HttpEndpoint.Response.json(400, "{}");
    }
    if (fenced && epoch == topic.epoch && sequence != topic.sequence + 1) {
      HttpEndpoint.Response first = topic.answers.get(sequence);
      return first != null
          ? first
          : HttpEndpoint.Response.json(
              409, "{\"reason\":\"seq\",\"seq\":" + (topic.sequence + 1) + "}");
    }
    String at = query.getOrDefault("at", "");
    if (!at.isEmpty() && Long.parseLong(at) != topic.records.size()) {
      return HttpEndpoint.Response.json(412, "{\"end\":" + topic.records.size() + "}");
    }
    long offset = topic.records.size();
    contents.forEach(content -> add(topic, content));
    synchronized (this) {
      storedBytes += body.length;
    }
    HttpEndpoint.Response response =
        HttpEndpoint.Response.json(
            200, "{\"offset\":" + offset + ",\"end\":" + topic.records.size() + "}");
    if (fenced) {
      if (epoch > topic.epoch) {
        topic.answers.clear();
      }
      topic.epoch = epoch;
      topic.sequence = sequence;
      topic.answers.put(sequence, response);
      topic.answers.remove(sequence - REMEMBERED_APPENDS);
    }
    // Bounds the memory of this process; the platform keeps 20 s of history.
    while (topic.records.size() - topic.first > 20_000) {
      topic.records.set((int) topic.first, null);
      topic.first++;
    }
    topic.notifyAll();
    return response;
  }

  private HttpEndpoint.Response read(Map<String, String> query) throws InterruptedException {
    Topic topic = topic(query.getOrDefault("topic", ""));
    long from = Long.parseLong(query.getOrDefault("from", "0"));
    long untilNanos =
        System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
    long limit = 1_024L * Math.max(1, Long.parseLong(query.getOrDefault("max_kb", "1024")));
    Thread.sleep(1);
    synchronized (topic) {
      long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
      while (from >= topic.records.size() && leftMillis > 0) {
        topic.wait(leftMillis);
        leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
      }
      if (from < topic.first) {
        return HttpEndpoint.Response.json(410, "{\"first\":" + topic.first + "}");
      }
      int size = 16;
      int last = (int) from;
      while (last < topic.records.size() && (last == from || size < limit)) {
        size += 4 + topic.records.get(last).length;
        last++;
      }
      ByteBuffer buffer = ByteBuffer.allocate(size);
      buffer.putLong(topic.records.size()).putLong(topic.first);
      for (int offset = (int) from; offset < last; offset++) {
        byte[] content = topic.records.get(offset);
        buffer.putInt(content.length).put(content);
      }
      return new HttpEndpoint.Response(200, buffer.array());
    }
  }

  private HttpEndpoint.Response newest(Map<String, String> query) throws InterruptedException {
    Topic topic = topic(query.getOrDefault("topic", ""));
    Thread.sleep(1);
    synchronized (topic) {
      Map<String, byte[]> rest = topic.newest.tailMap(query.getOrDefault("after", ""), false);
      StringBuilder items = new StringBuilder();
      int count = 0;
      for (Map.Entry<String, byte[]> entry : rest.entrySet()) {
        if (count == PAGE_ITEMS || items.length() > PAGE_BYTES) {
          break;
        }
        items.append(count++ == 0 ? "" : ",");
        items.append("{\"key\":\"").append(entry.getKey()).append("\",\"value\":\"");
        items.append(Base64.getEncoder().encodeToString(entry.getValue()));
        items.append("\",\"offset\":").append(topic.newestOffset.get(entry.getKey())).append("}");
      }
      return HttpEndpoint.Response.json(
          200,
          "{\"items\":["
              + items
              + "],\"has_more\":"
              + (rest.size() > count)
              + ",\"end\":"
              + topic.records.size()
              + "}");
    }
  }
}
