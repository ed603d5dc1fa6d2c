package org.cicadaford.adapter.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One machine of the system: the program of the deploy file as a process. */
final class Instance {
  private static final int FRONT_PORT = 8183;
  private static final int READY_PORT = 8184;
  private static final int PEER_PORT = 7420;
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z0-9_.]+)(\\|json)?\\}\\}");

  private final Path root;
  private final Path settings;
  private final Path log;
  private final String name;
  private final String zone;
  private final String ip;
  private volatile Process process;
  private volatile boolean gone;

  Instance(
      Path root, Path folder, String name, String zone, String ip, int storePort, int advicePort)
      throws IOException {
    this.root = root;
    this.name = name;
    this.zone = zone;
    this.ip = ip;
    this.log = folder.resolve(name + ".log");
    this.settings = folder.resolve(name + ".json");
    // The settings of the site shonarpata-sched, as far as the template of the deploy file uses
    // them.
    Map<String, Object> values =
        Map.ofEntries(
            Map.entry("node", name),
            Map.entry("zone", zone),
            Map.entry("ip", ip),
            Map.entry("port_range.0", PEER_PORT),
            Map.entry("listen_addrs.front", ip + ":" + FRONT_PORT),
            Map.entry("listen_addrs.ready_addr", ip + ":" + READY_PORT),
            Map.entry("platform.address", "127.0.0.1:" + storePort),
            Map.entry("advice", "127.0.0.1:" + advicePort),
            Map.entry("bounds.max_hold_ms", 6_000),
            Map.entry("bounds.status_s", 120),
            Map.entry("limits.cpu_share", 0.75),
            Map.entry("limits.cores", 1),
            Map.entry("limits.link_mbps", 1000.0),
            Map.entry("bounds.revoke_ms", 5_000),
            Map.entry("bounds.grace_s", 6));
    String template = Files.readString(root.resolve("deploy/settings.template.json"));
    Matcher matcher = PLACEHOLDER.matcher(template);
    StringBuilder rendered = new StringBuilder();
    while (matcher.find()) {
      Object value = values.get(matcher.group(1));
      if (value == null) {
        throw new IOException("the template names " + matcher.group(1));
      }
      boolean quoted = matcher.group(2) != null && value instanceof String;
      String text = quoted ? "\"" + value + "\"" : value.toString();
      matcher.appendReplacement(rendered, Matcher.quoteReplacement(text));
    }
    matcher.appendTail(rendered);
    Files.writeString(settings, rendered);
  }

  String name() {
    return name;
  }

  String zone() {
    return zone;
  }

  InetSocketAddress front() {
    return new InetSocketAddress(ip, FRONT_PORT);
  }

  InetSocketAddress ready() {
    return new InetSocketAddress(ip, READY_PORT);
  }

  /** Returns the lines that the process has written. */
  List<String> logLines() throws IOException {
    return Files.exists(log) ? Files.readAllLines(log) : List.of();
  }

  /** Starts the program with the command of the deploy file, from the root of the repository. */
  void start() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"([^\"]*)\"")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file names no program");
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    builder.directory(root.toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("CICADAFORD_CONFIG", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
  }

  /** Marks the machine as removed for good. */
  void remove() {
    gone = true;
  }

  boolean gone() {
    return gone;
  }

  boolean alive() {
    return process != null && process.isAlive();
  }

  boolean isReady() {
    return Http.call(ready(), "GET", "/readiness", "-", 1_000, "").status() == 200;
  }

  /** Sends a signal to the process. */
  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  void end() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
