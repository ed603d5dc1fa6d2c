package org.cicadaford.adapter.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A runner as PROTOCOL.md describes it. The payload of a job is the run time of its tasks in
 * milliseconds.
 */
final class Worker implements HttpStandin.Responder {
  /** Is told of each start that a runner has begun. */
  interface StartListener {
    void started(Worker worker, String task, int run);
  }

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int MAX_HOLD_MILLIS = 6_000;
  private static final int UNANSWERED_MILLIS = 5_000;

  private record Run(String task, int number, long startNanos, long durationMillis) {
    long ageMillis() {
      return (System.nanoTime() - startNanos) / 1_000_000;
    }

    int percent() {
      return (int) Math.min(100, 100 * ageMillis() / Math.max(1, durationMillis));
    }
  }

  private record End(long number, String task, int run, String how) {}

  private final String zone;
  private final String rack;
  private final Cell cell;
  private String id;
  private HttpStandin server;
  private final Relay relay = new Relay();
  private long bornMillis;
  private long bornNanos;
  private long highestToken;
  private long leaseUntilMillis;
  private long lastEnd;
  private long sequence;
  private boolean up;
  private final List<Run> running = new ArrayList<>();
  private final List<End> ends = new ArrayList<>();
  private final Map<String, Integer> lastEndedRun = new HashMap<>();

  Worker(Cell cell, String id, String zone, String rack) {
    this.cell = cell;
    this.id = id;
    this.zone = zone;
    this.rack = rack;
  }

  synchronized String id() {
    return id;
  }

  synchronized boolean up() {
    return up;
  }

  /** Starts a life of the runner, which knows nothing of earlier ones. */
  synchronized void start(String newId) throws IOException {
    id = newId;
    bornMillis = System.currentTimeMillis();
    bornNanos = System.nanoTime();
    highestToken = 0;
    leaseUntilMillis = 0;
    lastEnd = 0;
    sequence = 0;
    running.clear();
    ends.clear();
    lastEndedRun.clear();
    server = new HttpStandin(this);
    server.start();
    relay.start(server.port());
    up = true;
    cell.record().write("runner %s starts (born %d)", id, bornMillis);
  }

  /** Crashes: everything that runs is gone, and the connections close. */
  void crash() throws IOException {
    HttpStandin stopped;
    synchronized (this) {
      cell.record().write("runner %s crashes with %d runs", id, running.size());
      up = false;
      running.clear();
      stopped = server;
      notifyAll();
    }
    relay.stop();
    stopped.stop();
  }

  synchronized String entry() {
    ObjectNode entry = MAPPER.createObjectNode();
    entry.put("service", Cell.SERVICE).put("address", "127.0.0.1:" + relay.port());
    entry.put("zone", zone).put("version", "v1").put("slots", 8).put("state", "ready");
    entry.put("cold_remaining_ms", 0).put("seq", ++sequence).put("born", bornMillis);
    entry.put("clock_ms", clockMillis());
    entry.putObject("capacity").put("cpu", 64_000).put("mem_mb", 131_072).put("gpu", 0);
    entry.putArray("labels").add("a").add(rack);
    return entry.toString();
  }

  private long clockMillis() {
    return 1_000 + (System.nanoTime() - bornNanos) / 1_000_000;
  }

  /** Returns the names of the tasks that run now. */
  synchronized List<String> tasks() {
    return running.stream().map(Run::task).toList();
  }

  @Override
  public HttpStandin.Answer answer(HttpStandin.Request request) throws InterruptedException {
    if (request.path().equals("/health")) {
      return HttpStandin.Answer.json(200, "{}");
    }
    JsonNode body;
    try {
      body = MAPPER.readTree(request.body());
    } catch (IOException e) {
      return HttpStandin.Answer.json(400, "{}");
    }
    String started = null;
    HttpStandin.Answer answer = null;
    boolean left = false;
    synchronized (this) {
      if (!up) {
        return null;
      }
      if (request.instance() != null && !request.instance().equals(id)) {
        return HttpStandin.Answer.json(421, "{}");
      }
      long token = body.path("fencing_token").asLong(0);
      if (token < highestToken) {
        cell.record().write("runner %s refuses %s: fence", id, request.path());
        return refusal("fence");
      }
      highestToken = token;
      switch (request.path()) {
        case "/run-start" -> {
          cell.startReceived();
          left = cell.leavesUnanswered(this, body);
          if (left) {
            cell.record().write("runner %s leaves %s unanswered", id, body);
            break;
          }
          answer = startRun(body);
          started = answer.status() == 200 ? body.path("task").asText() : null;
        }
        case "/run-stop" -> answer = stopRun(body);
        case "/hold" -> answer = hold(body);
        default -> answer = HttpStandin.Answer.json(400, "{}");
      }
    }
    if (left) {
      // The caller gives up; the order may be carried out later.
      Thread.sleep(UNANSWERED_MILLIS);
      return null;
    }
    if (started != null) {
      cell.started(this, started, body.path("run").asInt());
    }
    return answer;
  }

  /** Ends all runs as done. */
  synchronized void finishRuns() {
    List.copyOf(running).forEach(run -> end(run, "done"));
  }

  /** Carries out a start order that arrives late. */
  synchronized HttpStandin.Answer carryOut(JsonNode order) {
    long token = order.path("fencing_token").asLong(0);
    if (token < highestToken) {
      return refusal("fence");
    }
    highestToken = token;
    return startRun(order);
  }

  private HttpStandin.Answer refusal(String reason) {
    return HttpStandin.Answer.json(
        409, "{\"clock_ms\":" + clockMillis() + ",\"reason\":\"" + reason + "\"}");
  }

  private HttpStandin.Answer done() {
    return HttpStandin.Answer.json(200, "{\"clock_ms\":" + clockMillis() + "}");
  }

  private void extendLease(JsonNode body) {
    long deadline = body.path("deadline_ms").asLong(0);
    leaseUntilMillis =
        Math.max(leaseUntilMillis, Math.min(deadline, clockMillis() + MAX_HOLD_MILLIS));
  }

  private HttpStandin.Answer startRun(JsonNode body) {
    String task = body.path("task").asText();
    int number = body.path("run").asInt();
    for (Run run : running) {
      if (run.task().equals(task) && run.number() == number) {
        return done();
      }
    }
    if (body.path("deadline_ms").asLong(0) <= clockMillis()) {
      return refusal("late");
    }
    extendLease(body);
    if (number <= lastEndedRun.getOrDefault(task, 0)) {
      return refusal("old");
    }
    if (cell.advised() && !Advice.isValid(body.path("ticket").asText(""), task, id)) {
      return refusal("ticket");
    }
    long duration = Long.parseLong(body.path("spec").asText().trim());
    running.add(new Run(task, number, System.nanoTime(), duration));
    cell.record().write("runner %s starts %s run %d", id, task, number);
    return done();
  }

  private HttpStandin.Answer stopRun(JsonNode body) {
    String task = body.path("task").asText();
    int number = body.path("run").asInt();
    for (Run run : List.copyOf(running)) {
      if (run.task().equals(task) && run.number() <= number) {
        end(run, "stopped");
      }
    }
    lastEndedRun.merge(task, number, Math::max);
    cell.record().write("runner %s confirms the stop of %s run %d", id, task, number);
    return done();
  }

  private HttpStandin.Answer hold(JsonNode body) throws InterruptedException {
    extendLease(body);
    long cursor = body.path("ack_cursor").asLong(0);
    for (End end : List.copyOf(ends)) {
      if (end.number() <= cursor) {
        ends.remove(end);
        cell.record().write("the end of %s run %d is taken note of", end.task(), end.run());
        cell.noted(end.task(), end.how());
      }
    }
    long until = System.nanoTime() + body.path("wait_ms").asLong(0) * 1_000_000;
    long life = bornNanos;
    while (up && life == bornNanos && ends.isEmpty() && System.nanoTime() < until) {
      wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
    }
    if (!up || life != bornNanos) {
      return null;
    }
    ObjectNode report = MAPPER.createObjectNode();
    report.put("clock_ms", clockMillis()).put("born", bornMillis);
    ArrayNode runs = report.putArray("running");
    for (Run run : running) {
      runs.addArray().add(run.task()).add(run.number()).add("").add(run.percent()).add(0);
    }
    ArrayNode rows = report.putArray("ended");
    for (End end : ends.subList(0, Math.min(500, ends.size()))) {
      rows.addArray().add(end.number()).add(end.task()).add(end.run()).add(end.how()).add("");
    }
    return new HttpStandin.Answer(200, report.toString().getBytes(StandardCharsets.UTF_8));
  }

  private void end(Run run, String how) {
    running.remove(run);
    lastEndedRun.merge(run.task(), run.number(), Math::max);
    ends.add(new End(++lastEnd, run.task(), run.number(), how));
    cell.record().write("runner %s ends %s run %d: %s", id, run.task(), run.number(), how);
    cell.ended(run.task(), how);
    notifyAll();
  }

  /** Ends runs that have done their work or whose lease is over. */
  synchronized void tick() {
    if (!up) {
      return;
    }
    boolean lapsed = clockMillis() > leaseUntilMillis;
    for (Run run : List.copyOf(running)) {
      if (lapsed) {
        end(run, "lapsed");
      } else if (run.ageMillis() >= run.durationMillis()) {
        end(run, "done");
      }
    }
  }
}
