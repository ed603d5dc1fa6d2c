package org.cicadaford.adapter.standin;

import java.nio.file.Path;
import java.util.Map;

/** Runs one case: exits with 11 if the rule was broken, 0 if it held, 2 if it could not run. */
public final class Main {
  /** Time after which a case is ended as one that could not run, in milliseconds. */
  private static final long LIMIT_MILLIS = 112_000;

  /** Exit code for a broken rule; the Java launcher itself exits with 1 when it fails. */
  private static final int BROKEN = 11;

  /** A case; returns whether the rule held. */
  interface Case {
    boolean run(Record record, Path root, boolean trouble) throws Exception;
  }

  private static final Map<String, Case> CASES =
      Map.of(
          "late-start", LateStart::run,
          "lost-announcement", LostAnnouncement::run,
          "pipelined", Pipelined::run,
          "unstored-cancel", UnstoredCancel::run,
          "wide-job", WideJob::run);

  private Main() {}

  public static void main(String[] arguments) {
    Path root = Path.of(arguments[1]).toAbsolutePath().normalize();
    Record record = new Record(Path.of(arguments[2]));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Thread watchdog =
        new Thread(
            () -> {
              try {
                Thread.sleep(LIMIT_MILLIS);
                record.say("could not run: not over after %d ms", LIMIT_MILLIS);
                System.exit(2);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    watchdog.setDaemon(true);
    watchdog.start();
    int status;
    try {
      boolean held = CASES.get(arguments[0]).run(record, root, trouble);
      record.say(held ? "the rule held" : "THE RULE WAS BROKEN");
      status = held ? 0 : BROKEN;
    } catch (Exception e) {
      record.say("could not run: %s", e);
      e.printStackTrace();
      status = 2;
    }
    System.exit(status);
  }
}
