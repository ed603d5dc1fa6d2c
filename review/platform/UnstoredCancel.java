package org.cicadaford.adapter.standin;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;

/** Clients leave while the store is slow, and cancel what they may have handed in. */
final class UnstoredCancel {
  private static final int SLOW_MILLIS = 4_500;

  /** An answer of the store takes 60 times its 4 ms; the stand-in takes 4 ms of them itself. */
  private static final int DELAY_MILLIS = 60 * 4 - 4;

  private static final int CLIENTS = 30;

  /** One client in three leaves. */
  private static final int LEAVING = 10;

  private static final int LEAVE_MILLIS = 200;
  private static final int TASK_MILLIS = 40_000;
  private static final int CONTACT_MILLIS = 3_000;
  private static final int CANCEL_MILLIS = 3_000;
  private static final int STOP_MILLIS = 400;
  private static final int MARGIN_MILLIS = 600;

  private UnstoredCancel() {}

  static boolean run(Record record, Path root, boolean trouble) throws Exception {
    try (Cell cell = new Cell(record, root, 6, 6)) {
      cell.start();
      warmUp(cell);
      long start = record.nowMillis();
      if (trouble) {
        cell.storeDelayMillis(DELAY_MILLIS);
        record.say("the store is slow: 240 ms an answer");
      }
      Map<String, Integer> cancelled = new ConcurrentSkipListMap<>();
      List<Thread> clients = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        int number = i;
        clients.add(Thread.ofVirtual().start(() -> client(cell, number, cancelled)));
        Thread.sleep(50);
      }
      for (Thread client : clients) {
        client.join();
      }
      Thread.sleep(Math.max(0, start + SLOW_MILLIS - record.nowMillis()));
      cell.storeDelayMillis(0);
      record.say("the store is as usual; cancels acknowledged: %s", new TreeMap<>(cancelled));
      if (cancelled.size() < LEAVING) {
        throw new CannotRunException("not all cancels were acknowledged");
      }
      int waitMillis = CONTACT_MILLIS + CANCEL_MILLIS + STOP_MILLIS + MARGIN_MILLIS;
      Thread.sleep(waitMillis);
      List<String> running =
          cancelled.keySet().stream().filter(id -> cell.runningOf(id) > 0).toList();
      record.say(
          "%d ms later tasks of %d of these jobs run: %s", waitMillis, running.size(), running);
      for (String id : running) {
        cell.call(cell.instances().get(0), "GET", Cell.QUEUE + id, Cell.KEY, "");
      }
      return running.isEmpty();
    }
  }

  /** Hands in and cancels jobs at each instance, so that no process sees its first request later. */
  private static void warmUp(Cell cell) {
    for (int i = 0; i < 60; i++) {
      String path = Cell.QUEUE + String.format("%016x", 0xa00 + i);
      Instance instance = cell.instances().get(i % cell.instances().size());
      cell.call(instance, "POST", path, Cell.KEY, Cell.job(1, 1_000, 100));
      cell.call(instance, "DELETE", path, Cell.KEY, "");
    }
  }

  private static void client(Cell cell, int number, Map<String, Integer> cancelled) {
    String id = String.format("%016x", 0xb00 + number);
    String path = Cell.QUEUE + id;
    List<Instance> instances = cell.instances();
    Instance entry = instances.get(number % instances.size());
    Instance next = instances.get((number + 1) % instances.size());
    try {
      if (number % (CLIENTS / LEAVING) != 0) {
        cell.call(entry, "POST", path, Cell.KEY, Cell.job(1, 1_000, 500));
        return;
      }
      try (Http http = new Http(entry.front(), 3_000)) {
        cell.record().write("client sends POST %s to %s", path, entry.name());
        http.send(Http.encode("POST", path, Cell.KEY, 3_000, Cell.job(1, 1_000, TASK_MILLIS)));
        Thread.sleep(LEAVE_MILLIS);
      }
      cell.record().write("client of %s has left", path);
      for (int attempt = 0; attempt < 5; attempt++) {
        Http.Answer answer = cell.call(next, "DELETE", path, Cell.KEY, "");
        if (answer.accepted() || answer.status() == 410) {
          cancelled.put(id, answer.status());
          return;
        }
        Thread.sleep(1_000);
      }
    } catch (IOException | InterruptedException e) {
      cell.record().write("client of %s ends: %s", path, e);
    }
  }
}
