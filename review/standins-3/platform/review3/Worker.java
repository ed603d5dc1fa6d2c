package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A sound runner. The payload of a job tells what its tasks do: {@code work=MILLIS} or {@code
 * lasting}. It can be told to crash, to come back under its id, and to go silent.
 */
final class Worker {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long MAX_HOLD_MILLIS = 6_000;

  private record Run(int number, long startedMillis, long workMillis) {}

  private record End(long number, String task, int run, String how) {}

  final String id;
  final String zone;
  private final String kind;
  private final String rack;
  private final long millicores;
  private final Record record;
  private final int port;
  private HttpServer server;
  private ExecutorService threads;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Integer> lastEnded = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private long bornMillis;
  private long bornNanos;
  private long lastEnd;
  private long highestToken;
  private long leaseUntilMillis;
  private boolean up;
  private boolean silent;
  private long life;
  private final Set<String> startedJobs = new HashSet<>();
  private Runnable onStart = () -> {};

  Worker(String id, String zone, String kind, String rack, long millicores, Record record)
      throws IOException {
    this.id = id;
    this.zone = zone;
    this.kind = kind;
    this.rack = rack;
    this.millicores = millicores;
    this.record = record;
    this.port = Cell.freePort();
  }

  /** Sets what runs, outside of the lock, after a task has started. */
  synchronized void onStart(Runnable action) {
    onStart = action;
  }

  synchronized void start() throws IOException {
    bornMillis = System.currentTimeMillis();
    bornNanos = System.nanoTime();
    running.clear();
    lastEnded.clear();
    ends.clear();
    lastEnd = 0;
    highestToken = 0;
    leaseUntilMillis = 0;
    life++;
    up = true;
    threads = Executors.newVirtualThreadPerTaskExecutor();
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 0);
    server.setExecutor(threads);
    long ownLife = life;
    server.createContext("/", exchange -> serve(exchange, ownLife));
    server.start();
    record.write("worker %s up born=%d", id, bornMillis);
  }

  /** Crashes: all that runs is gone, and the connections are reset. */
  void crash() {
    HttpServer stopped;
    ExecutorService stoppedThreads;
    synchronized (this) {
      if (!up) {
        return;
      }
      record.write("worker %s crashes with %s", id, running.keySet());
      up = false;
      running.clear();
      ends.clear();
      stopped = server;
      stoppedThreads = threads;
      notifyAll();
    }
    stopped.stop(0);
    stoppedThreads.shutdownNow();
  }

  /** Goes silent for good: no call is answered or carried out any more. */
  synchronized void goSilent() {
    record.write("worker %s silent for good, running %s", id, running.keySet());
    silent = true;
    running.clear();
    notifyAll();
  }

  synchronized boolean isUp() {
    return up && !silent;
  }

  /** Returns the jobs of which a task has started here. */
  synchronized Set<String> startedJobs() {
    return Set.copyOf(startedJobs);
  }

  /** Returns the entry under which the runner registers itself. */
  synchronized String entry(long sequence) {
    ObjectNode entry = MAPPER.createObjectNode();
    entry.put("service", Cell.SERVICE).put("address", "127.0.0.1:" + port).put("zone", zone);
    entry.put("version", "1").put("slots", 8).put("state", "ready").put("cold_remaining_ms", 0);
    entry.put("seq", sequence).put("born", bornMillis);
    entry.putObject("capacity").put("cpu", millicores).put("mem_mb", 131_072).put("gpu", 0);
    entry.putArray("labels").add(kind).add(rack);
    return entry.toString();
  }

  private long clockMillis() {
    return (System.nanoTime() - bornNanos) / 1_000_000;
  }

  /** Ends what is done and what has outlived its lease. */
  synchronized void tick() {
    if (!up || silent) {
      return;
    }
    boolean lapsed = clockMillis() > leaseUntilMillis;
    for (Map.Entry<String, Run> entry : List.copyOf(running.entrySet())) {
      Run run = entry.getValue();
      if (lapsed) {
        end(entry.getKey(), run.number(), "lapsed");
      } else if (run.workMillis() >= 0
          && clockMillis() - run.startedMillis() >= run.workMillis()) {
        end(entry.getKey(), run.number(), "done");
      }
    }
  }

  private void end(String task, int run, String how) {
    running.remove(task);
    lastEnded.merge(task, run, Math::max);
    ends.add(new End(++lastEnd, task, run, how));
    record.write("worker %s end %s run=%d %s", id, task, run, how);
    notifyAll();
  }

  private void serve(HttpExchange exchange, long ownLife) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      String expected = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
      Object[] answer = answer(exchange.getRequestURI().getPath(), expected, body, ownLife);
      if (answer == null) {
        return;
      }
      byte[] content = answer[1].toString().getBytes(StandardCharsets.UTF_8);
      exchange.sendResponseHeaders((Integer) answer[0], content.length);
      exchange.getResponseBody().write(content);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Object[] answer(String path, String expected, byte[] body, long ownLife)
      throws IOException, InterruptedException {
    JsonNode order = MAPPER.readTree(body);
    Object[] answer;
    Runnable after = () -> {};
    synchronized (this) {
      while (silent) {
        wait();
      }
      if (!up || life != ownLife) {
        return null;
      }
      if (expected != null && !expected.equals(id)) {
        return new Object[] {421, "{}"};
      }
      long token = order.path("fencing_token").asLong(0);
      if (token < highestToken) {
        answer = refusal("fence");
      } else {
        highestToken = token;
        switch (path) {
          case "/run-start" -> {
            answer = start(order);
            after = (Integer) answer[0] == 200 ? onStart : after;
          }
          case "/run-stop" -> answer = stop(order);
          case "/hold" -> answer = hold(order, ownLife);
          default -> answer = new Object[] {400, "{}"};
        }
      }
    }
    after.run();
    return answer;
  }

  private Object[] refusal(String reason) {
    return new Object[] {
      409, "{\"clock_ms\":" + clockMillis() + ",\"reason\":\"" + reason + "\"}"
    };
  }

  private Object[] done() {
    return new Object[] {200, "{\"clock_ms\":" + clockMillis() + "}"};
  }

  private void extendLease(long deadline) {
    leaseUntilMillis =
        Math.max(leaseUntilMillis, Math.min(deadline, clockMillis() + MAX_HOLD_MILLIS));
  }

  private Object[] start(JsonNode order) {
    String task = order.path("task").asText();
    int run = order.path("run").asInt();
    Run present = running.get(task);
    if (present != null && present.number() == run) {
      return done();
    }
    if (order.path("deadline_ms").asLong(0) <= clockMillis()) {
      return refusal("late");
    }
    extendLease(order.path("deadline_ms").asLong(0));
    if (run <= lastEnded.getOrDefault(task, 0)) {
      return refusal("old");
    }
    String spec = order.path("spec").asText();
    long work = spec.startsWith("work=") ? Long.parseLong(spec.substring(5)) : -1;
    running.put(task, new Run(run, clockMillis(), work));
    startedJobs.add(task.substring(0, task.indexOf('.')));
    record.write("worker %s start %s run=%d", id, task, run);
    return done();
  }

  private Object[] stop(JsonNode order) {
    String task = order.path("task").asText();
    int number = order.path("run").asInt();
    Run run = running.get(task);
    if (run != null && run.number() <= number) {
      end(task, run.number(), "stopped");
    }
    lastEnded.merge(task, number, Math::max);
    return done();
  }

  private Object[] hold(JsonNode order, long ownLife) throws InterruptedException {
    extendLease(order.path("deadline_ms").asLong(0));
    long cursor = order.path("ack_cursor").asLong(0);
    ends.removeIf(end -> end.number() <= cursor);
    long untilNanos = System.nanoTime() + order.path("wait_ms").asLong(0) * 1_000_000;
    while (ends.isEmpty() && up && !silent && System.nanoTime() < untilNanos) {
      wait(Math.max(1, (untilNanos - System.nanoTime()) / 1_000_000));
    }
    while (silent) {
      wait();
    }
    if (!up || life != ownLife) {
      return null;
    }
    ObjectNode report = MAPPER.createObjectNode();
    report.put("clock_ms", clockMillis()).put("born", bornMillis);
    ArrayNode rows = report.putArray("running");
    running.forEach(
        (task, run) -> {
          long percent =
              run.workMillis() < 0
                  ? 100
                  : Math.min(99, (clockMillis() - run.startedMillis()) * 100 / run.workMillis());
          rows.addArray().add(task).add(run.number()).add("").add(percent).add(0);
        });
    ArrayNode endRows = report.putArray("ended");
    ends.stream()
        .limit(500)
        .forEach(
            end ->
                endRows.addArray().add(end.number()).add(end.task()).add(end.run())
                    .add(end.how()).add(""));
    return new Object[] {200, report};
  }
}
