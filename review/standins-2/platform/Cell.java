package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.BindException;
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
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;

/**
 * Runs a small deployment: the program of deploy/system.toml as processes, with stand-ins for the
 * store, the advice service and the runners, and acts as the operator and as clients.
 */
final class Cell implements AutoCloseable {

  static final String SERVICE = "tokenhall";
  static final String HOST = "nony24.example";
  static final List<String> ZONES = List.of("kolkata", "bardhaman", "siliguri");
  private static final long HEARTBEAT_MILLIS = 1_500;

  /** A queue of the configuration, with the shape of a route of the small sites. */
  record Queue(String name, String prefix, int priority, boolean advised) {}

  /** An answer to a client; the status is 0 if there was none. */
  record Answer(int status, String body) {
    boolean accepted() {
      return status >= 200 && status < 300;
    }
  }

  private static final class Instance {
    private String name;
    private int frontPort;
    private int readyPort;
    private Path settings;
    private Path log;
    private Process process;
  }

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Record record;
  private final Path root;
  private final Path directory;
  private final Store store;
  private final Map<String, Runner> runners = new HashMap<>();
  private final List<Instance> instances = new ArrayList<>();
  private final Set<Integer> usedPorts = new HashSet<>();
  private final ScheduledExecutorService heartbeats = Executors.newScheduledThreadPool(2);
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(1_000))
          .build();
  private Advice advice;
  private long version = 1;

  Cell(Record record, Path root) throws IOException {
    this.record = record;
    this.root = root;
    this.directory = Files.createTempDirectory("cicadaford-review");
    this.store = new Store(record);
    // Ends the processes also if the case is ended by its time limit.
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> instances.forEach(i -> i.process.destroyForcibly())));
  }

  Store store() {
    return store;
  }

  synchronized Runner runner(String id) {
    return runners.get(id);
  }

  synchronized List<Runner> runners() {
    return List.copyOf(runners.values());
  }

  /** Adds a runner, which registers itself in the store about every heartbeat. */
  Runner addRunner(
      Runner.Observer observer, String id, String zone, String kind, String rack, int cpu)
      throws IOException {
    Runner runner = new Runner(record, observer, id, SERVICE, zone, kind, rack, cpu, 131_072);
    synchronized (this) {
      runners.put(id, runner);
    }
    heartbeats.scheduleAtFixedRate(
        () -> heartbeat(runner), 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    return runner;
  }

  /** Writes the entry of a runner, unless it is down. */
  void heartbeat(Runner runner) {
    if (runner.isUp()) {
      store.put("keyed.servers", runner.id(), runner.entry());
    }
  }

  void startAdvice(BiPredicate<String, Runner> policy) throws IOException {
    advice = new Advice(this, policy);
  }

  /** Publishes a configuration with these queues and one tenant, whose key is {@code key}. */
  void publish(List<Queue> queues, String key) {
    StringBuilder routes = new StringBuilder();
    for (Queue queue : queues) {
      routes.append(routes.isEmpty() ? "" : ",");
      routes.append("{\"name\":\"").append(queue.name()).append("\",\"host\":\"").append(HOST);
      routes.append("\",\"path_prefix\":\"").append(queue.prefix());
      routes.append("\",\"type\":\"non_idempotent\",\"timeout_ms\":3000,");
      routes.append("\"target_latency_ms\":1000,\"priority\":").append(queue.priority());
      routes.append(",\"service\":\"").append(SERVICE).append("\",\"max_attempts\":4,");
      routes.append("\"stretch\":4.0,\"public\":false");
      if (queue.advised()) {
        routes.append(",\"advice\":{\"decide_ms\":10,\"period_ms\":0.1,\"valid_ms\":");
        routes.append(Advice.VALID_MILLIS).append("}");
      }
      routes.append("}");
    }
    store.put(
        "keyed.op",
        "config",
        "{\"version\":%d,\"routes\":[%s],\"services\":[{\"name\":\"%s\",\"enforces_capacity\":false,"
                .formatted(version++, routes, SERVICE)
            + "\"standby\":false}],\"limits\":{\"max_body_bytes\":262144},\"tenants\":[{\"name\":"
            + "\"kaje80\",\"api_keys\":[\"%s\"],\"priority\":1,\"weight\":1000,\"max_count\":"
                .formatted(key)
            + "{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}]}");
    record.line("operator publishes a configuration with " + queues);
  }

  /** Starts instances of the program, in turn in the zones, and waits until they are ready. */
  boolean startInstances(int count) throws IOException, InterruptedException {
    List<String> command = deployedCommand();
    for (int index = 0; index < count; index++) {
      Instance instance = new Instance();
      String zone = ZONES.get(index % ZONES.size());
      instance.name = "edge-" + zone + "-" + (index + 1);
      instance.frontPort = freePort();
      instance.readyPort = freePort();
      instance.settings = directory.resolve(instance.name + ".json");
      instance.log = directory.resolve(instance.name + ".log");
      Files.writeString(
          instance.settings,
          "{\"instanceId\":\"%s\",\"zone\":\"%s\",\"ip\":\"127.0.0.1\",\"peerPort\":%d,"
                  .formatted(instance.name, zone, freePort())
              + "\"requestAddress\":\"127.0.0.1:%d\",\"readinessAddress\":\"127.0.0.1:%d\","
                  .formatted(instance.frontPort, instance.readyPort)
              + "\"storeAddress\":\"%s\",\"adviceAddress\":\"%s\",\"maxLeaseMillis\":%d,"
                  .formatted(
                      store.address(),
                      advice == null ? "127.0.0.1:1" : advice.address(),
                      Runner.MAX_HOLD_MILLIS)
              + "\"keepEndedSeconds\":120,\"processorShare\":0.75,\"processorCount\":1,"
              + "\"linkMegabits\":1000.0,\"revokeMillis\":5000,\"stopSeconds\":6,"
              + "\"metricsPort\":%d}".formatted(freePort()));
      start(instance, command);
      instances.add(instance);
    }
    long untilNanos = System.nanoTime() + 20_000_000_000L;
    while (System.nanoTime() < untilNanos) {
      if (instances.stream().allMatch(this::ready)) {
        record.line("all " + count + " instances are ready");
        return true;
      }
      restartExited();
      Thread.sleep(100);
    }
    record.line("the instances did not become ready");
    return false;
  }

  private void start(Instance instance, List<String> command) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.directory(root.toFile());
    builder.environment().put("CICADAFORD_CONFIG", instance.settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(instance.log.toFile()));
    instance.process = builder.start();
    record.line("process of " + instance.name + " starts");
  }

  /** Restarts processes that have ended by themselves, as the platform does. */
  int restartExited() throws IOException {
    int exited = 0;
    for (Instance instance : instances) {
      if (!instance.process.isAlive()) {
        exited++;
        List<String> lines = Files.readAllLines(instance.log);
        String last = lines.isEmpty() ? "" : lines.get(lines.size() - 1);
        record.line(instance.name + " ended with " + instance.process.exitValue() + ": " + last);
        start(instance, deployedCommand());
      }
    }
    return exited;
  }

  /** Returns the command of the role in deploy/system.toml, split at spaces. */
  private List<String> deployedCommand() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("deploy/system.toml has no command");
  }

  /** Returns a free port below those that the system gives to outgoing connections. */
  private int freePort() throws IOException {
    for (int attempt = 0; attempt < 200; attempt++) {
      int port = 15_000 + ThreadLocalRandom.current().nextInt(15_000);
      if (usedPorts.add(port)) {
        try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
          return free.getLocalPort();
        } catch (BindException e) {
          // Another process has it; the next one is tried.
        }
      }
    }
    throw new IOException("no free port was found");
  }

  private boolean ready(Instance instance) {
    return get("http://127.0.0.1:" + instance.readyPort + "/readiness", null, 500).status() == 200;
  }

  int readyCount() {
    return (int) instances.stream().filter(this::ready).count();
  }

  private Answer get(String uri, String key, long timeoutMillis) {
    return send(request("GET", uri, null, key, timeoutMillis));
  }

  private HttpRequest request(String method, String uri, String body, String key, long millis) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create(uri))
            .timeout(Duration.ofMillis(millis))
            .header("X-Timeout-Ms", Long.toString(millis))
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body));
    if (key != null) {
      builder.header("Authorization", "Bearer " + key).header("Host", HOST);
    }
    return builder.build();
  }

  private Answer send(HttpRequest request) {
    try {
      HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Answer(0, String.valueOf(e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, "interrupted");
    }
  }

  /** Makes a client's call to an instance and records it with its answer. */
  Answer call(int instance, String method, String path, String body, String key) {
    Answer answer = quietCall(instance, method, path, body, key);
    record.line(
        "client: %s %s at %s -> %s %s"
            .formatted(
                method,
                path,
                instances.get(instance % instances.size()).name,
                answer.status() == 0 ? "no answer" : answer.status(),
                answer.body()));
    return answer;
  }

  Answer quietCall(int instance, String method, String path, String body, String key) {
    int port = instances.get(instance % instances.size()).frontPort;
    return send(request(method, "http://127.0.0.1:" + port + path, body, key, 3_000));
  }

  /** Hands a job in, with up to four retries at other nodes; returns the last answer. */
  Answer submit(int instance, String path, String body, String key) throws InterruptedException {
    Answer answer = null;
    for (int attempt = 0; attempt < 5; attempt++) {
      answer = call(instance + attempt, "POST", path, body, key);
      if (answer.accepted() || answer.status() == 404 || answer.status() == 400) {
        return answer;
      }
      Thread.sleep(1_000);
    }
    return answer;
  }

  static JsonNode json(Answer answer) {
    try {
      return MAPPER.readTree(answer.body());
    } catch (IOException e) {
      return MAPPER.createObjectNode();
    }
  }

  @Override
  public void close() throws IOException, InterruptedException {
    heartbeats.shutdownNow();
    for (Instance instance : instances) {
      instance.process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }
    runners().forEach(Runner::stop);
    if (advice != null) {
      advice.stop();
    }
    store.stop();
    boolean kept = System.getenv("KEEP_LOGS") != null;
    if (kept) {
      System.out.println("logs in " + directory);
      return;
    }
    try (var files = Files.list(directory)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(directory);
  }
}
