package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stands in for a runner: starts, stops and lists tasks under leases and fencing tokens as
 * PROTOCOL.md describes. It doesn't guard its capacity, and works on tasks for as long as the case
 * says.
 */
final class Runner implements HttpEndpoint.Handler {

  static final long MAX_HOLD_MILLIS = 6_000;
  private static final long STOP_MILLIS = 50;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Sees what runners do, and says how long tasks work. */
  interface Observer {
    /** Returns the time that a task works, in milliseconds. */
    long workMillis(String task);

    /** Returns how a run ends once its time is over, {@code done} or {@code failed}. */
    default String endOf(String task) {
      return "done";
    }

    /** Returns whether a task lasts, and so is at work after a short start-up. */
    default boolean lasts(String task) {
      return false;
    }

    /** A task has begun on an order. */
    void started(Runner runner, String task, int run, String spec);

    /** A run has ended. */
    default void ended(Runner runner, String task, int run, String how) {}

    /** An end is taken note of: {@code ack_cursor} has reached it. */
    default void noted(Runner runner, String task, int run, String how, long cursor) {}
  }

  private static final class Run {
    private final String task;
    private final int number;
    private final long workMillis;
    private final long startedNanos = System.nanoTime();
    private long stopNanos = Long.MAX_VALUE;

    private Run(String task, int number, long workMillis) {
      this.task = task;
      this.number = number;
      this.workMillis = workMillis;
    }
  }

  private record End(long number, String task, int run, String how) {}

  private final Record record;
  private final Observer observer;
  private final HttpEndpoint endpoint;
  private final String service;
  private final String zone;
  private final String rack;
  private final int cpu;
  private final int memory;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Integer> closedRuns = new HashMap<>();
  private final TreeMap<Long, End> ends = new TreeMap<>();
  private String id;
  private String kind;
  private long bornMillis;
  private long bornNanos;
  private long lastEnd;
  private long highestToken;
  private long leaseMillis;
  private boolean up = true;
  private boolean ticketRequired;
  private boolean quiet;
  private long sequence;

  Runner(
      Record record,
      Observer observer,
      String id,
      String service,
      String zone,
      String kind,
      String rack,
      int cpu,
      int memory)
      throws IOException {
    this.record = record;
    this.observer = observer;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.kind = kind;
    this.rack = rack;
    this.cpu = cpu;
    this.memory = memory;
    beginLife();
    endpoint = new HttpEndpoint(this);
    Thread ticker = new Thread(this::tick, "runner-" + id);
    ticker.setDaemon(true);
    ticker.start();
  }

  private void beginLife() {
    bornMillis = System.currentTimeMillis();
    bornNanos = System.nanoTime();
    lastEnd = 0;
    highestToken = 0;
    leaseMillis = 0;
    sequence = 0;
    running.clear();
    closedRuns.clear();
    ends.clear();
  }

  String id() {
    return id;
  }

  synchronized long born() {
    return bornMillis;
  }

  synchronized String kind() {
    return kind;
  }

  synchronized boolean isUp() {
    return up;
  }

  synchronized int runningCount() {
    return running.size();
  }

  synchronized void requireTickets() {
    ticketRequired = true;
  }

  /** Leaves starts and ends out of the record. */
  synchronized void quiet() {
    quiet = true;
  }

  /** Ends the process of the runner; it answers nothing and runs nothing. */
  synchronized void crash() {
    up = false;
    for (Run run : running.values()) {
      observer.ended(this, run.task, run.number, "crashed");
    }
    running.clear();
    record.line("runner " + id + " crashes");
    notifyAll();
  }

  /** Starts the runner again under its id; it knows nothing of before. */
  synchronized void restart(String newKind) {
    kind = newKind;
    beginLife();
    up = true;
    record.line("runner " + id + " is back, kind " + kind + ", born " + bornMillis);
  }

  synchronized String entry() {
    return "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,"
            .formatted(service, endpoint.address(), zone)
        + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":%d,\"seq\":%d,"
            .formatted(bornMillis, ++sequence)
        + "\"capacity\":{\"cpu\":%d,\"mem_mb\":%d,\"gpu\":0},\"labels\":[\"%s\",\"%s\"],"
            .formatted(cpu, memory, kind, rack)
        + "\"clock_ms\":%d}".formatted(clockMillis());
  }

  void stop() {
    endpoint.stop();
  }

  private long clockMillis() {
    return (System.nanoTime() - bornNanos) / 1_000_000;
  }

  @Override
  public HttpEndpoint.Response handle(HttpEndpoint.Request request) throws Exception {
    JsonNode body = MAPPER.readTree(request.body());
    synchronized (this) {
      if (!up) {
        return null;
      }
      if (request.instance() != null && !request.instance().equals(id)) {
        return HttpEndpoint.Response.json(421, "{}");
      }
      long token = body.path("fencing_token").asLong(0);
      if (token < highestToken) {
        return refusal("fence");
      }
      highestToken = token;
      return switch (request.path()) {
        case "/run-start" -> start(body);
        case "/run-stop" -> stop(body);
        case "/hold" -> hold(body);
        default -> HttpEndpoint.Response.json(400, "{}");
      };
    }
  }

  private HttpEndpoint.Response refusal(String reason) {
    return HttpEndpoint.Response.json(
        409, "{\"clock_ms\":" + clockMillis() + ",\"reason\":\"" + reason + "\"}");
  }

  private HttpEndpoint.Response done() {
    return HttpEndpoint.Response.json(200, "{\"clock_ms\":" + clockMillis() + "}");
  }

  private void extendLease(long deadlineMillis) {
    long allowed = Math.min(deadlineMillis, clockMillis() + MAX_HOLD_MILLIS);
    leaseMillis = Math.max(leaseMillis, allowed);
  }

  private HttpEndpoint.Response start(JsonNode body) {
    String task = body.path("task").asText();
    int number = body.path("run").asInt();
    long deadlineMillis = body.path("deadline_ms").asLong(0);
    Run present = running.get(task);
    if (present != null && present.number == number) {
      return done();
    }
    if (deadlineMillis <= clockMillis()) {
      return refusal("late");
    }
    extendLease(deadlineMillis);
    if (number <= closedRuns.getOrDefault(task, 0) || present != null) {
      return refusal("old");
    }
    String step = task.substring(0, task.lastIndexOf('.'));
    if (ticketRequired
        && !Advice.isValid(body.path("ticket").asText(""), step, id, bornMillis)) {
      return refusal("ticket");
    }
    running.put(task, new Run(task, number, observer.workMillis(task)));
    if (!quiet) {
      record.line("runner " + id + " (kind " + kind + ") starts " + task + " run " + number);
    }
    observer.started(this, task, number, body.path("spec").asText());
    return done();
  }

  private HttpEndpoint.Response stop(JsonNode body) {
    String task = body.path("task").asText();
    int number = body.path("run").asInt();
    closedRuns.merge(task, number, Math::max);
    Run run = running.get(task);
    if (run != null && run.number <= number) {
      run.stopNanos = Math.min(run.stopNanos, System.nanoTime() + STOP_MILLIS * 1_000_000);
    }
    return done();
  }

  private HttpEndpoint.Response hold(JsonNode body) throws InterruptedException {
    extendLease(body.path("deadline_ms").asLong(0));
    forgetEnds(body.path("ack_cursor").asLong(0));
    long life = bornNanos;
    long untilNanos = System.nanoTime() + body.path("wait_ms").asLong(0) * 1_000_000;
    long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
    while (up && life == bornNanos && ends.isEmpty() && leftMillis > 0) {
      wait(leftMillis);
      leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
    }
    if (!up || life != bornNanos) {
      return null;
    }
    StringBuilder rows = new StringBuilder();
    for (Run run : running.values()) {
      rows.append(rows.isEmpty() ? "" : ",").append("[\"").append(run.task).append("\",");
      rows.append(run.number).append(",\"\",").append(percent(run)).append(",0]");
    }
    StringBuilder endRows = new StringBuilder();
    int count = 0;
    for (End end : ends.values()) {
      if (count++ == 500) {
        break;
      }
      endRows.append(endRows.isEmpty() ? "" : ",").append("[").append(end.number());
      endRows.append(",\"").append(end.task()).append("\",").append(end.run());
      endRows.append(",\"").append(end.how()).append("\",\"\"]");
    }
    return HttpEndpoint.Response.json(
        200,
        "{\"clock_ms\":%d,\"born\":%d,\"running\":[%s],\"ended\":[%s]}"
            .formatted(clockMillis(), bornMillis, rows, endRows));
  }

  private void forgetEnds(long cursor) {
    Map<Long, End> reached = ends.headMap(cursor, true);
    for (End end : reached.values()) {
      observer.noted(this, end.task(), end.run(), end.how(), cursor);
    }
    reached.clear();
  }

  private long percent(Run run) {
    long workedMillis = (System.nanoTime() - run.startedNanos) / 1_000_000;
    if (observer.lasts(run.task)) {
      return Math.min(100, workedMillis);
    }
    return run.workMillis <= 0 ? 100 : Math.min(99, 100 * workedMillis / run.workMillis);
  }

  private void tick() {
    try {
      while (true) {
        Thread.sleep(5);
        synchronized (this) {
          long now = System.nanoTime();
          boolean lapsed = clockMillis() > leaseMillis;
          for (Run run : List.copyOf(new ArrayList<>(running.values()))) {
            if (lapsed) {
              end(run, "lapsed");
            } else if (now >= run.stopNanos) {
              end(run, "stopped");
            } else if (now - run.startedNanos >= run.workMillis * 1_000_000) {
              end(run, observer.endOf(run.task));
            }
          }
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void end(Run run, String how) {
    running.remove(run.task);
    closedRuns.merge(run.task, run.number, Math::max);
    ends.put(++lastEnd, new End(lastEnd, run.task, run.number, how));
    if (!quiet) {
      record.line("runner " + id + " ends " + run.task + " run " + run.number + " " + how);
    }
    observer.ended(this, run.task, run.number, how);
    notifyAll();
  }
}
