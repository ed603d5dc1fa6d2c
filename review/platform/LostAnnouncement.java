package org.cicadaford.adapter.standin;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The coordinator is removed while the partition that names the coordinator is down. */
final class LostAnnouncement {
  private static final int DOWN_MILLIS = 4_500;
  private static final int KILL_AFTER_MILLIS = 1_000;
  private static final int CONTACT_MILLIS = 3_000;
  private static final int TRAFFIC_MILLIS = 35_000;
  private static final int FINISH_MILLIS = 14_000;
  private static final int WATCH_MILLIS = 3_000;
  private static final int CAPACITY_MILLICORES = 64_000;

  /** A kind of request with the mean figures of the sheet, but a third of its cores. */
  private record Kind(
      String queue,
      double perSecond,
      int count,
      int cpu,
      int taskMillis,
      double decideMillis,
      double perWorkerMillis) {}

  private static final List<Kind> KINDS =
      List.of(
          new Kind(Cell.BATCH_QUEUE, 1.15, 5, 6_000, 6_200, 642.9, 6.5),
          new Kind(Cell.QUEUE, 3.04, 10, 1_200, 3_400, 117.1, 1.2),
          new Kind(Cell.OTHER_QUEUE, 27, 2, 1_700, 800, 13.3, 0.13));

  private record Job(String id, Kind kind) {}

  private LostAnnouncement() {}

  static boolean run(Record record, Path root, boolean trouble) throws Exception {
    try (Cell cell = new Cell(record, root, 8, 33, true)) {
      cell.start();
      if (trouble) {
        // TROUBLE=outage and TROUBLE=kill play one of the two disruptions only.
        String part = String.valueOf(System.getenv("TROUBLE"));
        disturb(cell, !part.equals("kill"), !part.equals("outage"));
      }
      Thread.sleep(CONTACT_MILLIS);
      try (Balancer balancer = new Balancer(cell)) {
        Map<String, Job> accepted = sendTraffic(cell, balancer);
        long asked = record.nowMillis() + FINISH_MILLIS;
        for (Instance instance : cell.instances()) {
          if (!instance.gone()) {
            record.say("%s: readiness %s", instance.name(), instance.isReady() ? 200 : 503);
          }
        }
        Thread.sleep(Math.max(0, asked - record.nowMillis()));
        return watch(cell, accepted);
      }
    }
  }

  private static void disturb(Cell cell, boolean outage, boolean kill) throws Exception {
    Instance first = cell.coordinator();
    if (outage) {
      cell.refuseStoreCalls(request -> request.query().contains("topic=keyed.coordinator&"));
      cell.record().say("the store is down in part: partition 0 of keyed.coordinator");
    }
    Thread.sleep(KILL_AFTER_MILLIS);
    if (kill) {
      first.signal("KILL");
      first.remove();
      cell.record().say("coordinator %s is killed, its machine is removed", first.name());
    }
    Thread.sleep(DOWN_MILLIS - KILL_AFTER_MILLIS);
    if (outage) {
      cell.refuseStoreCalls(request -> false);
      cell.record().say("the store is up in all its parts");
    }
  }

  private static Map<String, Job> sendTraffic(Cell cell, Balancer balancer) throws Exception {
    Map<String, Job> accepted = new ConcurrentHashMap<>();
    AtomicInteger sent = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    long start = cell.record().nowMillis();
    double[] next = new double[KINDS.size()];
    while (cell.record().nowMillis() - start < TRAFFIC_MILLIS) {
      for (int i = 0; i < KINDS.size(); i++) {
        Kind kind = KINDS.get(i);
        if (cell.record().nowMillis() - start >= next[i]) {
          next[i] += 1_000 / kind.perSecond();
          int number = sent.incrementAndGet();
          String id = String.format("%016x", 0xa000 + number);
          String zone = Cell.ZONES.get(number % Cell.ZONES.size());
          cell.registerJob(id, kind.decideMillis(), kind.perWorkerMillis());
          String body = Cell.job(kind.count(), kind.cpu(), kind.taskMillis());
          clients.add(
              Thread.ofVirtual()
                  .start(
                      () -> {
                        try {
                          String path = kind.queue() + id;
                          if (balancer.call(zone, "POST", path, Cell.KEY, body).accepted()) {
                            accepted.put(id, new Job(id, kind));
                          }
                        } catch (InterruptedException e) {
                          Thread.currentThread().interrupt();
                        }
                      }));
        }
      }
      Thread.sleep(5);
    }
    for (Thread client : clients) {
      client.join();
    }
    cell.record().say("%d jobs sent, %d accepted", sent.get(), accepted.size());
    return accepted;
  }

  /** Watches the accepted jobs for 3 s; returns whether all that are not done have tasks at work. */
  private static boolean watch(Cell cell, Map<String, Job> accepted) throws InterruptedException {
    Map<String, Job> idle = new ConcurrentHashMap<>(accepted);
    long most = 0;
    long until = cell.record().nowMillis() + WATCH_MILLIS;
    while (cell.record().nowMillis() < until) {
      long used = 0;
      for (Job job : accepted.values()) {
        long running = cell.runningOf(job.id());
        used += running * job.kind().cpu();
        boolean done =
            cell.endsOf(job.id()).stream().filter("done"::equals).count() >= job.kind().count();
        if (running > 0 || done) {
          idle.remove(job.id());
        }
      }
      most = Math.max(most, used);
      Thread.sleep(100);
    }
    long capacity = (long) cell.workers().size() * CAPACITY_MILLICORES;
    cell.record()
        .say(
            "%d accepted jobs have had nothing running for %d ms; at most %d%% of the service's"
                + " capacity was in use",
            idle.size(), WATCH_MILLIS, 100 * most / capacity);
    idle.keySet().stream().limit(10).forEach(id -> cell.record().say("waits: job %s", id));
    return idle.isEmpty() || 2 * most >= capacity;
  }
}
