package org.cicadaford.adapter.standin;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** A client asks for two jobs in turn on one connection while the coordinator is killed. */
final class Pipelined {
  private static final String RUNNING = "00000000000000f1";
  private static final String COMPLETED = "00000000000000f2";
  private static final int GAP_MILLIS = 10;
  private static final int BEFORE_MILLIS = 500;
  private static final int ASKING_MILLIS = 4_000;

  private Pipelined() {}

  static boolean run(Record record, Path root, boolean trouble) throws Exception {
    try (Cell cell = new Cell(record, root, 5, 6)) {
      cell.start();
      Instance first = cell.coordinator();
      Instance entry = cell.instances().stream().filter(i -> i != first).findFirst().orElseThrow();
      cell.call(entry, "POST", Cell.QUEUE + RUNNING, Cell.KEY, Cell.job(1, 1_000, 30_000));
      cell.call(entry, "POST", Cell.QUEUE + COMPLETED, Cell.KEY, Cell.job(1, 1_000, 300));
      Thread.sleep(2_000);
      if (cell.runningOf(RUNNING) != 1 || !cell.endsOf(COMPLETED).equals(List.of("done"))) {
        throw new CannotRunException("the jobs have not run as expected");
      }
      if (trouble) {
        Thread.ofVirtual().start(() -> kill(record, first));
      }
      List<Integer> wrong = new ArrayList<>();
      int answered = 0;
      long end = record.nowMillis() + ASKING_MILLIS;
      while (record.nowMillis() < end) {
        answered += ask(record, entry, end, wrong);
      }
      long running = cell.runningOf(RUNNING);
      record.say(
          "%d answers; the running job was shown as completed in %d of them; tasks of it at work: %d",
          answered, wrong.size(), running);
      return wrong.isEmpty();
    }
  }

  private static void kill(Record record, Instance coordinator) {
    try {
      Thread.sleep(BEFORE_MILLIS);
      coordinator.signal("KILL");
      record.write("coordinator %s is killed", coordinator.name());
    } catch (IOException | InterruptedException e) {
      record.write("the coordinator was not killed: %s", e);
    }
  }

  /**
   * Asks on one connection until a time, or until the instance closes it; returns the number of
   * answers and adds those that show the running job as completed.
   */
  private static int ask(Record record, Instance entry, long end, List<Integer> wrong)
      throws Exception {
    AtomicBoolean open = new AtomicBoolean(true);
    int answered = 0;
    try (Http connection = new Http(entry.front(), 6_000)) {
      record.write("client connects to %s", entry.name());
      List<String> sent = new ArrayList<>();
      Thread sender =
          Thread.ofVirtual()
              .start(
                  () -> {
                    try {
                      for (int i = 0; open.get() && record.nowMillis() < end; i++) {
                        String id = i % 2 == 0 ? RUNNING : COMPLETED;
                        synchronized (sent) {
                          sent.add(id);
                          record.write("client sends request %d: GET %s", i, id);
                        }
                        connection.send(Http.encode("GET", Cell.QUEUE + id, Cell.KEY, 3_000, ""));
                        Thread.sleep(GAP_MILLIS);
                      }
                    } catch (IOException | InterruptedException e) {
                      record.write("client stops sending: %s", e);
                    }
                  });
      while (true) {
        int sentCount;
        synchronized (sent) {
          sentCount = sent.size();
        }
        if (answered == sentCount) {
          if (!sender.isAlive()) {
            break;
          }
          Thread.sleep(1);
          continue;
        }
        Http.Answer answer = connection.read();
        String id = sent.get(answered);
        record.write("client gets answer %d: %d %s", answered, answer.status(), answer.body());
        if (id.equals(RUNNING) && answer.body().contains("completed")) {
          wrong.add(answered);
        }
        answered++;
      }
      sender.join();
    } catch (IOException e) {
      record.write("the connection ends: %s", e);
    } finally {
      open.set(false);
    }
    return answered;
  }
}
