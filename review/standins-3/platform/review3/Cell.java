package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A small deployment on loopback: the store, workers, processes of the program, and clients. */
final class Cell implements AutoCloseable {

  /** Exit status of a case that could not run. */
  static final int COULD_NOT_RUN = 2;

  static final String SERVICE = "tokenhall";
  static final List<String> ZONES = List.of("kolkata", "bardhaman", "siliguri");
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Set<Integer> USED_PORTS = ConcurrentHashMap.newKeySet();
  private static final int TICK_MILLIS = 10;

  /** Runners write to the store each 1.5 s, and are removed after three such times of silence. */
  private static final long HEARTBEAT_MILLIS = 1_500;

  /** An answer to a client, with status -1 if there was none. */
  record Reply(int status, String body) {
    String field(String name) {
      try {
        JsonNode node = MAPPER.readTree(body);
        return node.path(name).asText("");
      } catch (IOException e) {
        return "";
      }
    }
  }

  /** What a case does on a cell that is up; returns whether the rule held. */
  interface Play {
    boolean run(Cell cell, boolean trouble) throws Exception;
  }

  final Record record;
  final List<Daemon> daemons = new ArrayList<>();
  final List<Worker> workers = new ArrayList<>();
  private final org.cicadaford.adapter.standin.StoreStandin store =
      new org.cicadaford.adapter.standin.StoreStandin(500);
  private final org.cicadaford.adapter.standin.HttpStandin storeServer =
      new org.cicadaford.adapter.standin.HttpStandin(store);
  private final ScheduledExecutorService ticks = Executors.newScheduledThreadPool(2);
  private final Map<String, Long> writtenAtMillis = new HashMap<>();
  private final Map<String, Boolean> wasUp = new HashMap<>();
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final Path directory;
  private final Path root;
  private long sequence;
  private int next;

  private Cell(Path root, Path recordFile) throws IOException {
    this.root = root;
    this.record = new Record(recordFile);
    this.directory = Files.createTempDirectory("review-3-");
  }

  /** Returns a free port below those that the system gives to outgoing connections. */
  static int freePort() {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
      try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        if (USED_PORTS.add(port)) {
          return port;
        }
      } catch (IOException e) {
        // The port is in use.
      }
    }
  }

  /**
   * Runs a case and exits with its status.
   *
   * @param arguments the root of the repository and the folder of the case
   */
  static void play(String[] arguments, Play play) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Path.of(arguments[1]);
    int status = COULD_NOT_RUN;
    try (Cell cell = new Cell(Path.of(arguments[0]).toAbsolutePath(), folder.resolve("record.txt"))) {
      Runtime.getRuntime().addShutdownHook(new Thread(cell::killAll));
      cell.record.write("trouble=%s", trouble);
      boolean held = play.run(cell, trouble);
      cell.record.write(held ? "the rule held" : "the rule was broken");
      status = held ? 0 : 1;
      System.out.println(held ? "the rule held" : "the rule was broken");
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(status);
  }

  /** Adds workers of a kind, spread over the zones. */
  void addWorkers(int count, String kind, long millicores) throws IOException {
    for (int index = 0; index < count; index++) {
      int number = workers.size();
      workers.add(
          new Worker(
              "runner-" + number,
              ZONES.get(number % ZONES.size()),
              kind,
              "r" + number % ZONES.size() + "-0",
              millicores,
              record));
    }
  }

  /** Starts everything, and waits until all processes serve. */
  void start(int daemonCount, ArrayNode routes, ArrayNode tenants) throws Exception {
    storeServer.start();
    ObjectNode config = MAPPER.createObjectNode();
    config.put("version", 7);
    config.set("routes", routes);
    config.putArray("services").addObject().put("name", SERVICE).put("enforces_capacity", false);
    config.set("tenants", tenants);
    config.putObject("limits");
    store.put("keyed.op", "config", config.toString());
    for (Worker worker : workers) {
      worker.start();
    }
    tickWorkers();
    for (int index = 0; index < daemonCount; index++) {
      String zone = ZONES.get(index % ZONES.size());
      daemons.add(
          new Daemon("edge-" + zone + "-" + index, zone, storeServer.port(), root, directory,
              record));
    }
    for (Daemon daemon : daemons) {
      daemon.start();
    }
    ticks.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  static ArrayNode array() {
    return MAPPER.createArrayNode();
  }

  static void addRoute(ArrayNode routes, String name, int priority) {
    ObjectNode route = routes.addObject();
    route.put("name", name).put("host", "127.0.0.1").put("path_prefix", "/" + name + "/");
    route.put("service", SERVICE).put("priority", priority).put("max_attempts", 4);
    route.put("stretch", 4.0).put("target_latency_ms", 3_000).put("timeout_ms", 3_000);
  }

  static void addTenant(ArrayNode tenants, String name, double weight) {
    addTenant(tenants, name, weight, 0);
  }

  static void addTenant(ArrayNode tenants, String name, double weight, long millicores) {
    ObjectNode tenant = tenants.addObject();
    tenant.put("name", name).put("weight", weight).putArray("api_keys").add("key-" + name);
    tenant.putObject("max_count").put("cpu", millicores).put("mem_mb", 0).put("gpu", 0);
  }

  private void tick() {
    try {
      tickWorkers();
      for (Daemon daemon : daemons) {
        daemon.tick();
      }
    } catch (IOException | RuntimeException e) {
      e.printStackTrace();
    }
  }

  private void tickWorkers() {
    long now = record.nowMillis();
    for (Worker worker : workers) {
      worker.tick();
      boolean up = worker.isUp();
      boolean back = up && !wasUp.getOrDefault(worker.id, false);
      wasUp.put(worker.id, up);
      Long writtenAt = writtenAtMillis.get(worker.id);
      if (up && (back || writtenAt == null || now - writtenAt >= HEARTBEAT_MILLIS)) {
        writtenAtMillis.put(worker.id, now);
        store.put("keyed.servers", worker.id, worker.entry(++sequence));
      } else if (!up && writtenAt != null && now - writtenAt >= 3 * HEARTBEAT_MILLIS) {
        writtenAtMillis.remove(worker.id);
        store.put("keyed.servers", worker.id, "");
      }
    }
  }

  /** Returns the process that the store last heard of as the coordinator, or null. */
  Daemon coordinator() {
    String text = store.newestText("keyed.coordinator", "coordinator");
    try {
      String instance = MAPPER.readTree(text).path("instance").asText();
      return daemons.stream().filter(d -> d.name.equals(instance)).findFirst().orElse(null);
    } catch (IOException e) {
      return null;
    }
  }

  /** Returns the number of jobs of which a task has started. */
  int startedJobs() {
    Set<String> started = new HashSet<>();
    workers.forEach(worker -> started.addAll(worker.startedJobs()));
    return started.size();
  }

  /** Sends a request to one process. */
  Reply send(Daemon daemon, String method, String path, String team, String body) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + daemon.requestPort + path))
            .timeout(Duration.ofMillis(3_000))
            .header("X-Timeout-Ms", "3000")
            .header("Authorization", "Bearer key-" + team)
            .header("Content-Type", "application/json")
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body));
    Reply reply;
    try {
      HttpResponse<String> response =
          http.send(request.build(), HttpResponse.BodyHandlers.ofString());
      reply = new Reply(response.statusCode(), response.body());
    } catch (IOException e) {
      reply = new Reply(-1, "");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      reply = new Reply(-1, "");
    }
    record.write("client %s %s at %s: %d %s", method, path, daemon.name, reply.status(),
        reply.body());
    return reply;
  }

  /** Sends a request, and again at the next process while it is not served, as clients do. */
  Reply sendUntil(String method, String path, String team, String body, long millis)
      throws InterruptedException {
    long until = record.nowMillis() + millis;
    Reply reply;
    do {
      reply = send(daemons.get(next++ % daemons.size()), method, path, team, body);
      if (reply.status() >= 200 && reply.status() < 500 && reply.status() != 429) {
        return reply;
      }
      Thread.sleep(200);
    } while (record.nowMillis() < until);
    return reply;
  }

  /** Waits until all processes answer a client; the cell is up then. */
  void awaitServing(String route, String team) throws Exception {
    long until = record.nowMillis() + 20_000;
    for (Daemon daemon : daemons) {
      while (send(daemon, "GET", "/" + route + "/", team, null).status() != 200) {
        if (record.nowMillis() > until) {
          throw new IllegalStateException("the cell does not serve");
        }
        Thread.sleep(200);
      }
    }
  }

  private void killAll() {
    for (Daemon daemon : daemons) {
      try {
        daemon.stop();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public void close() throws IOException {
    ticks.shutdownNow();
    killAll();
    if (System.getenv("KEEP_LOGS") != null) {
      System.err.println(directory);
    } else {
      try (var files = Files.walk(directory)) {
        for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
          Files.deleteIfExists(file);
        }
      }
    }
    record.close();
  }
}
