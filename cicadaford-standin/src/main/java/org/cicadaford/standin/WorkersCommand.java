package org.cicadaford.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Starts simulated workers. */
@Command(
    name = "workers",
    description = "Runs simulated workers.",
    mixinStandardHelpOptions = true,
    showDefaultValues = true)
final class WorkersCommand implements Callable<Integer> {

  private static final long ADVANCE_INTERVAL_MILLIS = 20;

  @Mixin private InstanceOptions instances;

  @Option(names = "--millicores", defaultValue = "64000", description = "Processors per worker.")
  private long millicores;

  @Option(names = "--memory-mebibytes", defaultValue = "131072", description = "Memory per worker.")
  private long memoryMebibytes;

  @Option(names = "--accelerators", defaultValue = "0", description = "Accelerators per worker.")
  private int accelerators;

  @Option(
      names = "--usage-percent",
      defaultValue = "80",
      description = "Percentage of their reserved resources that tasks use.")
  private int usagePercent;

  @Option(
      names = "--usage-lag-millis",
      defaultValue = "2000",
      description = "Time from the start of a task to its first usage measurement.")
  private long usageLagMillis;

  @Override
  public Integer call() throws Exception {
    Map<TaskId, Long> checkpointedMillis = new ConcurrentHashMap<>();
    List<WorkerStandin> workers = new ArrayList<>();
    Map<String, Integer> ports = new LinkedHashMap<>();
    for (int index = 0; index < instances.count(); index++) {
      WorkerStandin worker =
          new WorkerStandin(settings(index), checkpointedMillis, System::currentTimeMillis);
      worker.start();
      workers.add(worker);
      ports.put(instances.id(index), worker.port());
    }
    ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    timer.scheduleAtFixedRate(
        () -> workers.forEach(WorkerStandin::advance),
        ADVANCE_INTERVAL_MILLIS,
        ADVANCE_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    new Announcer(
            instances.platformSettings(),
            instances.announceMillis(),
            () -> workers.stream().flatMap(worker -> worker.announcement().stream()).toList())
        .start();
    StandinMain.printPorts(Map.of("port", workers.getFirst().port(), "ports", ports));
    return 0;
  }

  private WorkerStandin.Settings settings(int index) {
    return new WorkerStandin.Settings(
        instances.id(index),
        instances.zone(),
        instances.rack(index),
        new Resources(millicores, memoryMebibytes, accelerators),
        instances.port(index),
        usagePercent,
        usageLagMillis);
  }
}
