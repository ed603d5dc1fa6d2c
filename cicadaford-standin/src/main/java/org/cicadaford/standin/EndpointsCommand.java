package org.cicadaford.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Starts simulated endpoints of a service. */
@Command(
    name = "endpoints",
    description = "Runs simulated endpoints of a service.",
    mixinStandardHelpOptions = true,
    showDefaultValues = true)
final class EndpointsCommand implements Callable<Integer> {

  @Mixin private InstanceOptions instances;

  @Option(names = "--service", required = true, description = "Name of the service.")
  private String service;

  @Option(names = "--slots", defaultValue = "8", description = "Concurrent calls per endpoint.")
  private int slotCount;

  @Option(names = "--connections", defaultValue = "64", description = "Connections per endpoint.")
  private int connectionCount;

  @Option(names = "--service-millis", defaultValue = "10", description = "Duration of a call.")
  private long serviceMillis;

  @Override
  public Integer call() throws Exception {
    System.setProperty("jdk.httpserver.maxConnections", Integer.toString(connectionCount));
    List<EndpointStandin> endpoints = new ArrayList<>();
    Map<String, Integer> ports = new LinkedHashMap<>();
    for (int index = 0; index < instances.count(); index++) {
      EndpointStandin endpoint =
          new EndpointStandin(
              new EndpointStandin.Settings(
                  instances.id(index),
                  service,
                  instances.zone(),
                  instances.rack(index),
                  instances.port(index),
                  slotCount,
                  serviceMillis));
      endpoint.start();
      endpoints.add(endpoint);
      ports.put(instances.id(index), endpoint.port());
    }
    new Announcer(
            instances.platformSettings(),
            instances.announceMillis(),
            () -> endpoints.stream().flatMap(endpoint -> endpoint.announcement().stream()).toList())
        .start();
    StandinMain.printPorts(Map.of("port", endpoints.getFirst().port(), "ports", ports));
    return 0;
  }
}
