package org.cicadaford.verification;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.ProcessBuilder.Redirect;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cicadaford.daemon.EntryDaemon;

/** Runs an entry daemon in its own process. */
final class DaemonProcess {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final HttpClient HTTP = HttpClient.newHttpClient();

  final String instanceId;
  private final Process process;
  private final int port;

  private DaemonProcess(String instanceId, Process process, int port) {
    this.instanceId = instanceId;
    this.process = process;
    this.port = port;
  }

  /** Starts a daemon and blocks until it is ready. */
  static DaemonProcess start(String instanceId, String zone, int logPort) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.add(EntryDaemon.class.getName());
    command.addAll(List.of("--zone", zone, "--instance-id", instanceId));
    command.addAll(List.of("--log-address", "127.0.0.1:" + logPort, "--port", "0"));
    File errorLog = new File("target", "daemon-" + instanceId + ".log");
    Process process =
        new ProcessBuilder(command).redirectError(Redirect.appendTo(errorLog)).start();
    BufferedReader output =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    String line = output.readLine();
    if (line == null) {
      throw new IOException("daemon " + instanceId + " exited during startup; see " + errorLog);
    }
    return new DaemonProcess(instanceId, process, JSON.readTree(line).get("port").asInt());
  }

  /** Kills the process without a graceful stop, as when its instance fails. */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Stops the process gracefully and returns its exit code. */
  int stop() throws InterruptedException {
    process.destroy();
    return process.waitFor();
  }

  void suspend() throws IOException, InterruptedException {
    signal("-STOP");
  }

  void resume() throws IOException, InterruptedException {
    signal("-CONT");
  }

  private void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", name, Long.toString(process.pid())).start().waitFor();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** HTTP response of the daemon. */
  record Reply(int status, JsonNode body) {
    String runOutcome() {
      return body.path("ran").asText();
    }

    String jobId() {
      return body.path("jobId").asText();
    }
  }

  Reply get(String path, String... headers) throws IOException, InterruptedException {
    return send(request(path, headers).GET().build());
  }

  Reply post(String path, String body, String... headers) throws IOException, InterruptedException {
    return send(
        request(path, headers)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build());
  }

  private HttpRequest.Builder request(String path, String... headers) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path));
    return headers.length == 0 ? builder : builder.headers(headers);
  }

  private static Reply send(HttpRequest request) throws IOException, InterruptedException {
    HttpResponse<byte[]> response = HTTP.send(request, HttpResponse.BodyHandlers.ofByteArray());
    JsonNode body =
        response.body().length == 0 ? JSON.createObjectNode() : JSON.readTree(response.body());
    return new Reply(response.statusCode(), body);
  }
}
