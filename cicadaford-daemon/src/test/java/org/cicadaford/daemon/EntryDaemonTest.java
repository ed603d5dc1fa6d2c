package org.cicadaford.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cicadaford.entry.RequestIdIssuer;
import org.cicadaford.entry.job.TeamKeyVerifier;
import org.cicadaford.model.ConfigRecord.ConfigPublished;
import org.cicadaford.model.ConfigRecord.KeyGranted;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.QueuePolicy;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskId;
import org.cicadaford.model.TeamPolicy;
import org.cicadaford.model.Urgency;
import org.cicadaford.platform.MembershipUnavailableException;
import org.cicadaford.platform.PlatformClients;
import org.cicadaford.platform.PlatformSettings;
import org.cicadaford.standin.EndpointStandin;
import org.cicadaford.standin.Faults;
import org.cicadaford.standin.LogStandin;
import org.cicadaford.standin.WorkerStandin;
import org.cicadaford.wire.PeerException;

/** Guards the path from an HTTP request to a worker or endpoint and the refusal of bad requests. */
class EntryDaemonTest {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String KEY = "key-of-counters";
  private static final String OTHER_KEY = "key-of-panels";
  private static final int MAX_BODY_BYTES = 8_192;

  private final HttpClient http = HttpClient.newHttpClient();
  private final LogStandin log = new LogStandin(LogStandin.Settings.DEFAULT);
  private final Map<TaskId, Long> checkpoints = new ConcurrentHashMap<>();
  private final WorkerStandin worker =
      new WorkerStandin(
          new WorkerStandin.Settings(
              "worker-1", "a", "rack", new Resources(8_000, 8_192, 0), 0, 80, 10),
          checkpoints,
          System::currentTimeMillis);
  private final EndpointStandin endpoint =
      new EndpointStandin(
          new EndpointStandin.Settings("endpoint-1", "counter", "a", "rack", 0, 8, 5));
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final List<EntryDaemon> daemons = new ArrayList<>();
  private PlatformClients clients;

  @BeforeTry
  void startPlatform() throws Exception {
    log.start();
    worker.start();
    endpoint.start();
    clients = new PlatformClients(PlatformSettings.forLog("127.0.0.1", log.port()));
    clients.start();
    timer.scheduleAtFixedRate(worker::advance, 5, 5, TimeUnit.MILLISECONDS);
    timer.scheduleAtFixedRate(this::announce, 0, 500, TimeUnit.MILLISECONDS);
    publish();
  }

  @AfterTry
  void stopAll() throws Exception {
    for (EntryDaemon daemon : daemons) {
      daemon.stop();
    }
    timer.shutdownNow();
    clients.stop();
    worker.stop();
    endpoint.stop();
    log.stop();
  }

  @Example
  void submittedJobRunsAndReportsItsAnswer() throws Exception {
    EntryDaemon daemon = startReady();
    String requestId = RequestIdIssuer.generate();

    HttpResponse<String> accepted = submit(daemon, "{\"description\":\"prize-list\"}", requestId);
    assertThat(accepted.statusCode()).isEqualTo(202);
    assertThat(accepted.headers().firstValue("Cicadaford-Request-Id")).contains(requestId);
    String job = JSON.readTree(accepted.body()).get("jobId").textValue();
    await(() -> "completed".equals(report(daemon, job).path("state").asText()));

    JsonNode task = report(daemon, job).at("/zones/0/tasks/0");
    assertThat(task.path("workerId").asText()).isEqualTo("worker-1");
    assertThat(task.path("answer").asText()).isEqualTo("written");
    assertThat(submit(daemon, "{\"description\":\"prize-list\"}", requestId).body())
        .isEqualTo(accepted.body());
  }

  @Example
  void repeatedCallRunsOnceAndReturnsTheSameAnswer() throws Exception {
    EntryDaemon daemon = startReady();
    String path = "/v1/services/counter/call";
    Map<String, String> headers =
        with(key(KEY), "Cicadaford-Request-Id", RequestIdIssuer.generate());
    await(
        () ->
            daemon.services().membership().current().members().stream()
                .anyMatch(member -> member.instanceId().equals("endpoint-1")));

    HttpResponse<String> first = send(daemon, "POST", path, "balance", headers);
    HttpResponse<String> second = send(daemon, "POST", path, "balance", headers);
    while (second.statusCode() != 200) {
      // The outcome is recorded after the first response was sent; until then it is unknown.
      assertProblem(second, 409, "request-id-reused");
      assertThat(JSON.readTree(second.body()).path("ran").asText()).isEqualTo("unknown");
      second = send(daemon, "POST", path, "balance", headers);
    }

    assertThat(first.statusCode()).isEqualTo(200);
    assertThat(second.body()).isEqualTo(first.body());
    assertThat(endpoint.counts().executions().values()).containsExactly(1L);
    assertProblem(send(daemon, "POST", path, "b", Map.of()), 401, "key-missing");
    assertProblem(send(daemon, "POST", path, "b", key(OTHER_KEY)), 403, "wrong-team");
    assertProblem(
        send(daemon, "POST", path, "b", with(key(KEY), "Cicadaford-Repeatable", "perhaps")),
        400,
        "malformed-request");
    assertProblem(
        send(daemon, "POST", "/v1/services/none/call", "b", key(KEY)), 404, "unknown-service");
  }

  @Example
  void cancelledServiceStops() throws Exception {
    EntryDaemon daemon = startReady();
    HttpResponse<String> accepted =
        submit(daemon, "{\"description\":\"counter\"}", RequestIdIssuer.generate());
    String path = "/v1/jobs/" + JSON.readTree(accepted.body()).get("jobId").textValue();

    assertProblem(send(daemon, "DELETE", path, null, Map.of()), 401, "key-missing");
    assertProblem(send(daemon, "DELETE", path, null, key(OTHER_KEY)), 403, "wrong-team");
    assertThat(send(daemon, "DELETE", path, null, key(KEY)).statusCode()).isEqualTo(202);

    String job = path.substring("/v1/jobs/".length());
    await(() -> "cancelled".equals(report(daemon, job).path("state").asText()));
  }

  @Example
  void invalidRequestIsRefusedWithItsKind() throws Exception {
    EntryDaemon daemon = startReady();
    String validBody = "{\"description\":\"prize-list\"}";
    String jobs = "/v1/jobs";

    assertProblem(send(daemon, "POST", jobs, "{", key(KEY)), 400, "malformed-request");
    assertProblem(send(daemon, "POST", jobs, "", key(KEY)), 400, "malformed-request");
    assertProblem(send(daemon, "POST", jobs, "[]", key(KEY)), 400, "malformed-request");
    assertProblem(
        send(daemon, "POST", jobs, "{\"nmae\":\"x\"}", key(KEY)), 400, "malformed-request");
    assertProblem(
        send(daemon, "POST", jobs, "{\"name\":\"x\"}", key(KEY)), 400, "malformed-request");
    assertProblem(
        send(daemon, "POST", jobs, "{\"description\":\"none\"}", key(KEY)),
        404,
        "unknown-description");
    assertProblem(send(daemon, "POST", jobs, validBody, Map.of()), 401, "key-missing");
    assertProblem(send(daemon, "POST", jobs, validBody, key("guess")), 401, "unknown-key");
    assertProblem(send(daemon, "POST", jobs, validBody, key(OTHER_KEY)), 403, "wrong-team");
    assertProblem(
        send(daemon, "POST", jobs, validBody, with(key(KEY), "Cicadaford-Request-Id", "1")),
        400,
        "malformed-request");
    assertProblem(
        send(daemon, "POST", jobs, validBody, with(key(KEY), "Cicadaford-Deadline-Millis", "soon")),
        400,
        "malformed-request");
    assertProblem(
        send(
            daemon,
            "POST",
            jobs,
            validBody,
            with(key(KEY), "Cicadaford-Request-Id", "018f0000-0000-7000-8000-000000000000")),
        409,
        "request-id-expired");
    assertProblem(
        send(daemon, "POST", jobs, "x".repeat(MAX_BODY_BYTES + 1), key(KEY)),
        413,
        "body-too-large");
    assertProblem(send(daemon, "GET", "/v1/jobs/none", null, key(KEY)), 404, "unknown-job");
    assertProblem(send(daemon, "GET", "/v2", null, Map.of()), 404, "unknown-route");
    assertProblem(send(daemon, "PUT", jobs, validBody, key(KEY)), 405, "wrong-method");
    assertThat(send(daemon, "GET", "/metrics", null, Map.of()).body())
        .contains("cicadaford_refusals_total{kind=\"wrong-team\"}")
        .contains("cicadaford_refusals_total{kind=\"body-too-large\"}");
  }

  @Example
  void daemonIsNotReadyUntilTheLogIsReached() throws Exception {
    log.setFaults(logDown());
    EntryDaemon daemon = start();

    HttpResponse<String> readiness = send(daemon, "GET", "/health/readiness", null, Map.of());
    assertThat(readiness.statusCode()).isEqualTo(503);
    assertThat(readiness.body()).contains("check that the log is reachable");
    assertThat(send(daemon, "GET", "/health/liveness", null, Map.of()).statusCode()).isEqualTo(200);

    log.setFaults(Faults.NONE);
    await(() -> daemon.services().readiness().ready());
  }

  @Example
  void stopWaitsForRequestsInProgress() throws Exception {
    EntryDaemon daemon = startReady();
    HttpRequest slow =
        request(daemon, "POST", "/v1/jobs", "{\"description\":\"prize-list\"}", key(KEY)).build();
    log.setFaults(slowLog(300));
    List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      answers.add(http.sendAsync(slow, HttpResponse.BodyHandlers.ofString()));
    }
    await(() -> daemon.services().requestLimiter().inProgressCount() == 3);

    daemon.stop();

    for (CompletableFuture<HttpResponse<String>> answer : answers) {
      assertThat(answer.join().statusCode()).isEqualTo(202);
    }
  }

  private EntryDaemon start() throws PeerException {
    AtomicReference<EntryDaemon> started = new AtomicReference<>();
    StringWriter errors = new StringWriter();
    DaemonCommand.execute(
        settings -> {
          started.set(new EntryDaemon(settings));
          return 0;
        },
        new PrintWriter(errors, true),
        new PrintWriter(errors, true),
        "--zone=a",
        "--port=0",
        "--log-address=127.0.0.1:" + log.port(),
        "--max-body-bytes=" + MAX_BODY_BYTES,
        "--read-back-timeout-millis=10000");
    assertThat(errors.toString()).isEmpty();
    started.get().start();
    daemons.add(started.get());
    return started.get();
  }

  private EntryDaemon startReady() throws Exception {
    EntryDaemon daemon = start();
    await(() -> daemon.services().readiness().ready());
    await(() -> daemon.services().config().view().version() == 2);
    await(
        () ->
            daemon.services().membership().current().members().stream()
                .anyMatch(member -> member.instanceId().equals("worker-1")));
    return daemon;
  }

  private void publish() throws Exception {
    append(
        new ConfigPublished(
            "publish",
            -1,
            List.of(
                job("prize-list", JobKind.BATCH, "echo written"),
                job("counter", JobKind.SERVICE, "service")),
            List.of(new TeamPolicy("counters", 4, 20_000), new TeamPolicy("panels", 1, 20_000)),
            List.of(new QueuePolicy("counter", false)),
            List.of(),
            List.of(),
            List.of()));
    append(new KeyGranted("grant-1", TeamKeyVerifier.hash(KEY), "counters"));
    append(new KeyGranted("grant-2", TeamKeyVerifier.hash(OTHER_KEY), "panels"));
  }

  private void append(Object configRecord) throws Exception {
    clients.logService().append("config", RecordCodec.encode(configRecord));
  }

  private static JobDescription job(String name, JobKind kind, String program) {
    return new JobDescription(
        name,
        "counters",
        kind,
        "counter",
        Urgency.NORMAL,
        new Resources(500, 64, 0),
        2,
        List.of(),
        0,
        0,
        0,
        false,
        true,
        program);
  }

  private void announce() {
    Stream.concat(worker.announcement().stream(), endpoint.announcement().stream())
        .forEach(
            member -> {
              try {
                clients.membershipService().announce(member);
              } catch (MembershipUnavailableException e) {
                // The timer announces again after 500 ms.
                return;
              }
            });
  }

  private JsonNode report(EntryDaemon daemon, String job) {
    try {
      return JSON.readTree(send(daemon, "GET", "/v1/jobs/" + job, null, key(KEY)).body());
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private HttpResponse<String> submit(EntryDaemon daemon, String body, String requestId)
      throws Exception {
    return send(
        daemon, "POST", "/v1/jobs", body, with(key(KEY), "Cicadaford-Request-Id", requestId));
  }

  private HttpResponse<String> send(
      EntryDaemon daemon, String method, String path, String body, Map<String, String> headers)
      throws Exception {
    return http.send(
        request(daemon, method, path, body, headers).build(), HttpResponse.BodyHandlers.ofString());
  }

  private static HttpRequest.Builder request(
      EntryDaemon daemon, String method, String path, String body, Map<String, String> headers) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + daemon.port() + path))
            .version(HttpClient.Version.HTTP_1_1)
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body));
    builder.header("Content-Type", "application/json");
    headers.forEach(builder::header);
    return builder;
  }

  private static Map<String, String> key(String key) {
    return Map.of("Cicadaford-Key", key);
  }

  private static Map<String, String> with(Map<String, String> headers, String name, String value) {
    Map<String, String> all = new HashMap<>(headers);
    all.put(name, value);
    return all;
  }

  private static void assertProblem(HttpResponse<String> response, int status, String kind)
      throws Exception {
    assertThat(response.body()).contains("urn:cicadaford:problem:" + kind + "\"");
    assertThat(response.statusCode()).isEqualTo(status);
    assertThat(response.headers().firstValue("Content-Type"))
        .hasValueSatisfying(type -> assertThat(type).startsWith("application/problem+json"));
    JsonNode problem = JSON.readTree(response.body());
    assertThat(problem.path("status").asInt()).isEqualTo(status);
    assertThat(problem.path("detail").asText()).isNotBlank();
    assertThat(problem.path("ran").asText()).isIn("not-run", "unknown");
  }

  private static Faults logDown() {
    return new Faults(true, 0, 0, false, null, null, false, false, false, false, null);
  }

  private static Faults slowLog(long millis) {
    return new Faults(false, millis, 0, false, null, null, false, false, false, false, null);
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      Thread.sleep(10);
    }
  }
}
