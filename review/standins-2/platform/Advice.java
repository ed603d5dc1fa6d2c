package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.function.BiPredicate;

/** Stands in for the advice service; a ticket holds for a step and a life of a runner. */
final class Advice implements HttpEndpoint.Handler {

  static final long VALID_MILLIS = 2_500;
  static final long DECIDE_MILLIS = 10;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpEndpoint endpoint;
  private final Cell cell;
  private final BiPredicate<String, Runner> policy;

  /** The policy says which runners may run a step; it doesn't change for a step. */
  Advice(Cell cell, BiPredicate<String, Runner> policy) throws IOException {
    this.cell = cell;
    this.policy = policy;
    endpoint = new HttpEndpoint(this);
  }

  String address() {
    return endpoint.address();
  }

  void stop() {
    endpoint.stop();
  }

  @Override
  public HttpEndpoint.Response handle(HttpEndpoint.Request request) throws Exception {
    JsonNode body = MAPPER.readTree(request.body());
    String step = body.path("step").asText();
    Thread.sleep(DECIDE_MILLIS);
    StringBuilder rows = new StringBuilder();
    for (JsonNode worker : body.path("workers")) {
      Runner runner = cell.runner(worker.asText());
      if (runner != null && policy.test(step, runner)) {
        rows.append(rows.isEmpty() ? "" : ",").append("[\"").append(runner.id()).append("\",\"");
        rows.append(ticket(step, runner.id(), runner.born(), System.currentTimeMillis()));
        rows.append("\"]");
      }
    }
    return HttpEndpoint.Response.json(
        200, "{\"good\":[" + rows + "],\"valid_ms\":" + VALID_MILLIS + "}");
  }

  private static String ticket(String step, String id, long born, long atMillis) {
    return step + "|" + id + "|" + born + "|" + atMillis;
  }

  static boolean isValid(String ticket, String step, String id, long born) {
    String[] parts = ticket.split("\\|");
    return parts.length == 4
        && parts[0].equals(step)
        && parts[1].equals(id)
        && parts[2].equals(Long.toString(born))
        && System.currentTimeMillis() - Long.parseLong(parts[3]) <= VALID_MILLIS + 50;
  }
}
