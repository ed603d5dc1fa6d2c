package review3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the program under review, started by the command of the deploy file. */
final class Daemon {

  private static final long RESTART_MILLIS = 500;

  /** Bounds of the site, which the deploy file passes as environment variables. */
  private static final Map<String, String> BOUNDS =
      Map.of(
          "bounds.stop_ms", "400",
          "bounds.restore_ms", "600",
          "bounds.checkpoint_s", "1",
          "bounds.drain_ms", "2000",
          "bounds.gang_timeout_ms", "3000",
          "bounds.notice_ms", "4500",
          "platform.record_bytes", "262144");

  final String name;
  final int requestPort = Cell.freePort();
  final int peerPort = Cell.freePort();
  private final Path root;
  private final Path directory;
  private final Path settings;
  private final Record record;
  private Process process;
  private boolean wanted;
  private long exitedAtMillis = -1;
  private boolean killed;
  int ownExits;

  Daemon(String name, String zone, int storePort, Path root, Path directory, Record record)
      throws IOException {
    this.name = name;
    this.root = root;
    this.directory = directory;
    this.record = record;
    this.settings = directory.resolve(name + ".json");
    Files.writeString(
        settings,
        """
        {"instanceId": "%s", "zone": "%s", "ip": "127.0.0.1", "peerPort": %d,
         "requestAddress": "127.0.0.1:%d", "readinessAddress": "127.0.0.1:%d",
         "storeAddress": "127.0.0.1:%d", "adviceAddress": "", "maxLeaseMillis": 6000,
         "keepEndedSeconds": 120, "processorShare": 0.75, "processorCount": 1,
         "linkMegabits": 1000, "revokeMillis": 5000, "stopSeconds": 6, "metricsPort": %d}
        """
            .formatted(
                name, zone, peerPort, requestPort, Cell.freePort(), storePort, Cell.freePort()));
  }

  private static String deployValue(String text, String key) {
    Matcher matcher = Pattern.compile("(?m)^" + key + " = (.*)$").matcher(text);
    if (!matcher.find()) {
      throw new IllegalStateException("the deploy file has no " + key);
    }
    return matcher.group(1);
  }

  private void launch() throws IOException {
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    String run = deployValue(deploy, "run");
    List<String> command =
        new ArrayList<>(List.of(run.substring(1, run.length() - 1).split(" +")));
    // ProcessBuilder looks a relative program up in its own directory.
    command.set(0, root.resolve(command.get(0)).toString());
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    Matcher variable =
        Pattern.compile("([A-Z0-9_]+) = \"\\{\\{([a-z_.]+)\\}\\}\"")
            .matcher(deployValue(deploy, "env"));
    while (variable.find()) {
      builder.environment().put(variable.group(1), BOUNDS.get(variable.group(2)));
    }
    builder.environment().remove("JAVA_TOOL_OPTIONS");
    builder.environment().put("CICADAFORD_CONFIG", settings.toString());
    builder
        .redirectErrorStream(true)
        .redirectOutput(
            ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
    process = builder.start();
    killed = false;
    exitedAtMillis = -1;
    record.write("process %s starts", name);
  }

  synchronized void start() throws IOException {
    wanted = true;
    launch();
  }

  /** Kills the process; it is started again after a short delay, as the platform does. */
  synchronized void kill() {
    record.write("process %s is killed", name);
    killed = true;
    process.destroyForcibly();
  }

  synchronized void tick() throws IOException {
    if (!wanted || process.isAlive()) {
      return;
    }
    long now = record.nowMillis();
    if (exitedAtMillis < 0) {
      exitedAtMillis = now;
      ownExits += killed ? 0 : 1;
      record.write(
          "process %s has ended%s, status %d", name, killed ? "" : " by itself",
          process.exitValue());
    } else if (now - exitedAtMillis >= RESTART_MILLIS) {
      launch();
    }
  }

  synchronized boolean isAlive() {
    return process.isAlive();
  }

  synchronized void stop() throws InterruptedException {
    wanted = false;
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
  }

  /** Returns the last lines of what the process has written that contain a text. */
  List<String> logLines(String text) throws IOException {
    Path log = directory.resolve(name + ".log");
    try (var lines = Files.lines(log)) {
      return lines.filter(line -> line.contains(text)).toList();
    }
  }
}
