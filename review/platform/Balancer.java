package org.cicadaford.adapter.standin;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** The front of the platform and the retries of its clients, as PROTOCOL.md describes them. */
final class Balancer implements AutoCloseable {
  private static final int RETRIES = 4;
  private static final int MISSES = 2;

  private final Cell cell;
  private final Map<Instance, Integer> misses = new HashMap<>();
  private final Random random = new Random(38);
  private final Thread checks = new Thread(this::check);

  Balancer(Cell cell) {
    this.cell = cell;
    cell.instances().forEach(instance -> misses.put(instance, 0));
    checks.setDaemon(true);
    checks.start();
  }

  private void check() {
    try {
      while (true) {
        for (Instance instance : cell.instances()) {
          boolean ready = instance.isReady();
          synchronized (this) {
            misses.merge(instance, 1, (count, one) -> ready ? 0 : count + one);
          }
        }
        TimeUnit.SECONDS.sleep(1);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the machines that get new connections of a zone's clients. */
  synchronized List<Instance> machinesFor(String zone) {
    List<Instance> all =
        cell.instances().stream().filter(i -> !i.gone() && i.zone().equals(zone)).toList();
    List<Instance> rotation = all.stream().filter(i -> misses.get(i) < MISSES).toList();
    if (rotation.isEmpty()) {
      // All zones are equally near here: the machines of the other zones that are in rotation.
      List<Instance> others =
          cell.instances().stream().filter(i -> !i.gone() && misses.get(i) < MISSES).toList();
      return others.isEmpty() ? all : others;
    }
    return 2 * rotation.size() < all.size() ? all : rotation;
  }

  /** Sends a request of a zone's client, with retries at other machines. */
  Http.Answer call(String zone, String method, String path, String key, String body)
      throws InterruptedException {
    Http.Answer answer = Http.Answer.NONE;
    Instance last = null;
    for (int attempt = 0; attempt <= RETRIES; attempt++) {
      List<Instance> machines = machinesFor(zone);
      Instance chosen;
      synchronized (this) {
        chosen = machines.get(random.nextInt(machines.size()));
        if (chosen == last && machines.size() > 1) {
          chosen = machines.get((machines.indexOf(chosen) + 1) % machines.size());
        }
      }
      last = chosen;
      answer = cell.call(chosen, method, path, key, body);
      int status = answer.status();
      if (status != 0 && status != 429 && status < 500) {
        return answer;
      }
      Thread.sleep(status == 503 || status == 429 ? 1_000 : 100);
    }
    return answer;
  }

  @Override
  public void close() {
    checks.interrupt();
  }
}
