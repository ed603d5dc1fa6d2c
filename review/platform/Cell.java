package org.cicadaford.adapter.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** A small deployment on loopback: instances as processes, and stand-ins for all else. */
final class Cell implements AutoCloseable {
  static final String SERVICE = "tokenhall";
  static final String QUEUE = "/settle/";
  static final String OTHER_QUEUE = "/check/";
  static final String BATCH_QUEUE = "/batch/";
  static final String KEY = "key-of-school";
  static final String OTHER_KEY = "key-of-shop";
  /** Sequence of zones; instances and runners are dealt to them in turn. */
  static final List<String> ZONES = List.of("kolkata", "bardhaman", "siliguri");

  private static final int STORE_PAGE = 500;

  /** Limit of the records of one call; {@code platform.call_bytes} in the settings. */
  private static final int CALL_BYTES = 2_097_152;

  private static final int BEAT_MILLIS = 1_500;

  private final Record record;
  private final Path folder;
  private final StoreStandin log = new StoreStandin(STORE_PAGE);
  private volatile Predicate<HttpStandin.Request> refused = request -> false;
  private final AtomicInteger starts = new AtomicInteger();
  private volatile int storeDelayMillis;
  private volatile BiPredicate<Worker, JsonNode> unanswered = (worker, order) -> false;
  private final HttpStandin store = new HttpStandin(this::answerStore);
  private final List<HttpStandin> adviceServers = new ArrayList<>();
  private final boolean advised;
  private final List<Worker> workers = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private final ScheduledExecutorService ticks = Executors.newScheduledThreadPool(2);
  private volatile Worker.StartListener onStart = (worker, task, run) -> {};
  private final Map<String, List<String>> endsByTask = new ConcurrentHashMap<>();
  private final Set<String> notedDone = ConcurrentHashMap.newKeySet();

  Cell(Record record, Path root, int instanceCount, int workerCount) throws IOException {
    this(record, root, instanceCount, workerCount, false);
  }

  /**
   * Creates a deployment.
   *
   * @param advised whether the queues have advice
   */
  Cell(Record record, Path root, int instanceCount, int workerCount, boolean advised)
      throws IOException {
    this.record = record;
    this.advised = advised;
    this.folder = Files.createTempDirectory("cicadaford-review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    String base = freeNetwork(instanceCount);
    for (int i = 0; i < instanceCount; i++) {
      String zone = ZONES.get(i % ZONES.size());
      // The service tells calling machines apart; each machine calls it at an address of its own.
      HttpStandin advice = new HttpStandin(new Advice());
      adviceServers.add(advice);
      instances.add(
          new Instance(
              root, folder, "edge-" + zone + "-" + (i / ZONES.size() + 1), zone, base + (10 + i),
              store.port(), advice.port()));
    }
    for (int i = 0; i < workerCount; i++) {
      String zone = ZONES.get(i % ZONES.size());
      workers.add(new Worker(this, "i-" + (100 + i), zone, "r" + i % ZONES.size()));
    }
  }

  /** Returns the first three bytes of loopback addresses on which the fixed ports are free. */
  private static String freeNetwork(int count) throws IOException {
    Random random = new Random();
    for (int attempt = 0; attempt < 50; attempt++) {
      String base = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
      boolean free = true;
      for (int i = 0; i < count && free; i++) {
        for (int port : new int[] {7420, 8183, 8184, 9464}) {
          try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(base + (10 + i), port));
          } catch (IOException e) {
            free = false;
          }
        }
      }
      if (free) {
        return base;
      }
    }
    throw new IOException("no free loopback addresses");
  }

  Record record() {
    return record;
  }

  boolean advised() {
    return advised;
  }

  List<Instance> instances() {
    return instances;
  }

  List<Worker> workers() {
    return workers;
  }

  void onStart(Worker.StartListener listener) {
    onStart = listener;
  }

  /** Sets which start orders runners leave unanswered. */
  void leaveUnanswered(BiPredicate<Worker, JsonNode> orders) {
    unanswered = orders;
  }

  void startReceived() {
    starts.incrementAndGet();
  }

  /** Returns the number of start orders that runners have received. */
  int starts() {
    return starts.get();
  }

  boolean leavesUnanswered(Worker worker, JsonNode order) {
    return unanswered.test(worker, order);
  }

  void started(Worker worker, String task, int run) {
    onStart.started(worker, task, run);
  }

  void ended(String task, String how) {
    endsByTask.computeIfAbsent(task, key -> new ArrayList<>()).add(how);
  }

  void noted(String task, String how) {
    if (how.equals("done")) {
      notedDone.add(task);
    }
  }

  /** Returns whether the end of a run as done has been taken note of. */
  boolean notedDone(String task) {
    return notedDone.contains(task);
  }

  /** Returns how the runs of a job's tasks have ended so far. */
  List<String> endsOf(String jobId) {
    return endsByTask.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(jobId))
        .flatMap(entry -> List.copyOf(entry.getValue()).stream())
        .toList();
  }

  /** Returns the number of tasks of a job that run now. */
  long runningOf(String jobId) {
    return workers.stream()
        .flatMap(worker -> worker.tasks().stream())
        .filter(task -> task.startsWith(jobId))
        .count();
  }

  /** Sets the calls that the store answers with 503; nothing is done for them. */
  void refuseStoreCalls(Predicate<HttpStandin.Request> calls) {
    refused = calls;
  }

  /** Sets the time that is added to each answer of the store. */
  void storeDelayMillis(int millis) {
    storeDelayMillis = millis;
  }

  private HttpStandin.Answer answerStore(HttpStandin.Request request) throws InterruptedException {
    if (refused.test(request)) {
      Thread.sleep(4);
      return HttpStandin.Answer.json(503, "{}");
    }
    if (request.path().equals("/log-append") && request.body().length > CALL_BYTES) {
      record.write("the store refuses an append of %d bytes", request.body().length);
      return HttpStandin.Answer.json(400, "{}");
    }
    if (storeDelayMillis > 0) {
      Thread.sleep(storeDelayMillis);
    }
    return log.answer(request);
  }

  /** Starts everything, and returns once all instances are ready. */
  void start() throws Exception {
    store.start();
    adviceServers.forEach(HttpStandin::start);
    publishConfig(1);
    for (Worker worker : workers) {
      worker.start(worker.id());
    }
    publishEntries();
    ticks.scheduleAtFixedRate(
        this::publishEntries, BEAT_MILLIS, BEAT_MILLIS, TimeUnit.MILLISECONDS);
    ticks.scheduleAtFixedRate(
        () -> workers.forEach(Worker::tick), 10, 10, TimeUnit.MILLISECONDS);
    for (Instance instance : instances) {
      instance.start();
    }
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(25);
    for (Instance instance : instances) {
      while (!instance.isReady()) {
        if (System.nanoTime() > until || !instance.alive()) {
          instance.logLines().stream().limit(20).forEach(System.out::println);
          throw new CannotRunException(instance.name() + " did not get ready");
        }
        Thread.sleep(50);
      }
    }
    // Offers of help come each 0.8 s; from them the coordinator names its standbys.
    Thread.sleep(2_500);
    record.write("all instances are ready, coordinator %s", coordinator().name());
  }

  /** Sets the queue by which the advice service finds the time that it takes for a job. */
  void registerJob(String id, double decideMillis, double perWorkerMillis) {
    Advice.TIMES.put(id, new double[] {decideMillis, perWorkerMillis});
  }

  private void publishEntries() {
    for (Worker worker : workers) {
      if (worker.up()) {
        log.put("keyed.servers", worker.id(), worker.entry());
      }
    }
  }

  /** Lists a runner at once, as it does when its entry changes. */
  void publishEntry(Worker worker) {
    log.put("keyed.servers", worker.id(), worker.entry());
  }

  void publishConfig(int version) {
    String route =
        "{\"name\":\"%s\",\"host\":\"" + Http.HOST + "\",\"path_prefix\":\"%s\","
            + "\"type\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":3000,"
            + "\"priority\":%d,\"service\":\"" + SERVICE + "\",\"max_attempts\":4,"
            + "\"stretch\":4.0,\"public\":false%s}";
    String tenant =
        "{\"name\":\"%s\",\"api_keys\":[\"%s\"],\"weight\":50.0,"
            + "\"max_count\":{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}";
    log.put(
        "keyed.op",
        "config",
        "{\"version\":" + version + ",\"routes\":["
            + String.format(route, "r-settle", QUEUE, 2, advice(117.1, 1.2)) + ","
            + String.format(route, "r-batch", BATCH_QUEUE, 1, advice(642.9, 6.5)) + ","
            + String.format(route, "r-check", OTHER_QUEUE, 0, advice(13.3, 0.13)) + "],"
            + "\"services\":[{\"name\":\"" + SERVICE + "\",\"health_path\":\"/health\","
            + "\"max_conns\":64,\"protocol\":\"h1\",\"enforces_capacity\":false,"
            + "\"standby\":false}],\"tenants\":["
            + String.format(tenant, "school", KEY) + ","
            + String.format(tenant, "shop", OTHER_KEY) + "]}");
  }

  /** Returns the advice policy of a route; the figures are those of the site. */
  private String advice(double decideMillis, double perWorkerMillis) {
    return advised
        ? ",\"advice\":{\"decide_ms\":" + decideMillis + ",\"period_ms\":" + perWorkerMillis
            + ",\"valid_ms\":2500}"
        : "";
  }

  /** Returns the instance that the newest announcement in the store names as the coordinator. */
  Instance coordinator() throws Exception {
    HttpStandin.Answer answer =
        log.answer(
            new HttpStandin.Request(
                "/log-newest", "topic=keyed.coordinator&part=0", new byte[0], null));
    JsonNode items = new ObjectMapper().readTree(answer.body()).path("items");
    for (JsonNode item : items) {
      JsonNode value =
          new ObjectMapper().readTree(Base64.getDecoder().decode(item.path("value").asText()));
      for (Instance instance : instances) {
        if (instance.name().equals(value.path("instance").asText())) {
          return instance;
        }
      }
    }
    throw new CannotRunException("no coordinator is announced");
  }

  /** Returns the body of a job whose tasks run for a time. */
  static String job(int count, int cpu, long durationMillis) {
    return "{\"spec\":\"" + durationMillis + "\",\"steps\":[{\"count\":" + count + ",\"cpu\":" + cpu
        + ",\"mem_mb\":256,\"estimate_ms\":" + durationMillis + "}]}";
  }

  /** Sends a request to an instance and records it. */
  Http.Answer call(Instance instance, String method, String path, String key, String body) {
    record.write("client sends %s %s to %s", method, path, instance.name());
    Http.Answer answer = Http.call(instance.front(), method, path, key, 3_000, body);
    record.write(
        "client gets %s for %s %s from %s %s",
        answer.status() == 0 ? "no answer" : answer.status(), method, path, instance.name(),
        answer.body());
    return answer;
  }

  /** Ends all processes that the case started. */
  private void endProcesses() {
    instances.forEach(Instance::end);
  }

  @Override
  public void close() {
    ticks.shutdownNow();
    endProcesses();
    try {
      String keep = System.getenv("KEEP_LOGS");
      if (keep != null) {
        for (Instance instance : instances) {
          Files.write(Path.of(keep, instance.name() + ".log"), instance.logLines());
        }
      }
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
      }
    } catch (IOException e) {
      System.err.println("the temporary folder was not removed: " + e.getMessage());
    }
  }
}
