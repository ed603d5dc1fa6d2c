package review;

import java.nio.file.Path;

/**
 * Base of the cases. The arguments are the root of the repository and the folder of the case; the
 * exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 */
abstract class Case {

  static final String KEY = "6x73d3zji9n73hh2b9wu";

  /** What a case has seen. */
  enum Result {
    HELD,
    BROKEN,
    NOT_RUN
  }

  /** Plays the case; {@code trouble} is whether its disruption takes place. */
  abstract Result play(Cell cell, Record record, boolean trouble) throws Exception;

  void run(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record(Path.of(arguments[1]).resolve("record.txt"));
    record.line(getClass().getSimpleName() + (trouble ? "" : ", without the disruption"));
    Result result;
    try (Cell cell = new Cell(record, Path.of(arguments[0]).toAbsolutePath())) {
      result = play(cell, record, trouble);
    } catch (Exception e) {
      record.line("the case could not run: " + e);
      e.printStackTrace();
      result = Result.NOT_RUN;
    }
    record.line("result: " + result);
    System.out.println(getClass().getSimpleName() + ": " + result);
    System.exit(
        switch (result) {
          case HELD -> 0;
          case BROKEN -> 1;
          case NOT_RUN -> 2;
        });
  }
}
