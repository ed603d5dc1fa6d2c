package org.cicadaford.adapter.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;

/** The advice service as one calling machine sees it: it handles one call of it at a time. */
final class Advice implements HttpStandin.Responder {
  /** Time of a call and time per named runner, in milliseconds, by job id. */
  static final Map<String, double[]> TIMES = new ConcurrentHashMap<>();

  private static final int MAX_WAITING = 32;
  private static final int VALID_MILLIS = 2_500;
  private static final int GOOD_OF_TEN = 4;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final ReentrantLock turn = new ReentrantLock(true);
  private final AtomicInteger waiting = new AtomicInteger();

  private static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }

  /** Returns whether a ticket is valid for a task's step on a runner. */
  static boolean isValid(String ticket, String task, String worker) {
    String[] parts = ticket.split("/");
    return parts.length == 3
        && task.startsWith(parts[0] + ".")
        && parts[1].equals(worker)
        && Long.parseLong(parts[2]) >= nowMillis();
  }

  @Override
  public HttpStandin.Answer answer(HttpStandin.Request request) throws InterruptedException {
    JsonNode body;
    try {
      body = MAPPER.readTree(request.body());
    } catch (IOException e) {
      return HttpStandin.Answer.json(400, "{}");
    }
    if (waiting.incrementAndGet() > MAX_WAITING) {
      waiting.decrementAndGet();
      return HttpStandin.Answer.json(429, "{}");
    }
    String step = body.path("step").asText();
    double[] times = TIMES.getOrDefault(step.substring(0, step.indexOf('.')), new double[2]);
    turn.lock();
    try {
      Thread.sleep((long) (times[0] + times[1] * body.path("workers").size()));
    } finally {
      turn.unlock();
      waiting.decrementAndGet();
    }
    ObjectNode answer = MAPPER.createObjectNode().put("valid_ms", VALID_MILLIS);
    ArrayNode good = answer.putArray("good");
    for (JsonNode worker : body.path("workers")) {
      String id = worker.asText();
      if (Math.floorMod((step + id).hashCode(), 10) < GOOD_OF_TEN) {
        good.addArray().add(id).add(step + "/" + id + "/" + (nowMillis() + VALID_MILLIS));
      }
    }
    return new HttpStandin.Answer(200, answer.toString().getBytes(StandardCharsets.UTF_8));
  }
}
