package org.cicadaford.standin;

import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Starts the simulated log and membership list. */
@Command(
    name = "log",
    description = "Runs the simulated log and membership list.",
    mixinStandardHelpOptions = true,
    showDefaultValues = true)
final class LogCommand implements Callable<Integer> {

  @Option(names = "--port", defaultValue = "0", description = "TCP port; 0: chosen by the system.")
  private int port;

  @Option(
      names = "--retention-millis",
      defaultValue = "3600000",
      description = "Maximum record age.")
  private long retentionMillis;

  @Option(
      names = "--retention-count",
      defaultValue = "1000000",
      description = "Maximum number of records per stream.")
  private int retentionCount;

  @Option(names = "--lag-millis", defaultValue = "500", description = "Membership list lag.")
  private long lagMillis;

  @Option(
      names = "--expiry-millis",
      defaultValue = "5000",
      description = "Time after its last announcement at which an instance leaves the list.")
  private long expiryMillis;

  @Option(
      names = "--max-appends-per-second",
      defaultValue = "0",
      description = "Appends beyond this rate are refused; 0: no limit.")
  private int maxAppendsPerSecond;

  @Override
  public Integer call() throws Exception {
    LogStandin log =
        new LogStandin(
            new LogStandin.Settings(
                port,
                retentionMillis,
                retentionCount,
                lagMillis,
                expiryMillis,
                maxAppendsPerSecond));
    log.start();
    StandinMain.printPorts(Map.of("port", log.port()));
    return 0;
  }
}
