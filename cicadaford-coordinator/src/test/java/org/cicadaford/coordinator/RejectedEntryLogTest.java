package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/** Tests that entries which cannot be used are named, and that a flood of them is bounded. */
class RejectedEntryLogTest {

  private long nowMillis = 5_000;
  private final CellMetrics metrics = new CellMetrics();
  private final LogLines log = new LogLines(RejectedEntryLog.class);
  private final RejectedEntryLog rejected = new RejectedEntryLog(metrics, () -> nowMillis);

  @AfterTry
  void stop() {
    log.close();
  }

  private void reject(String key, String content, String reason) {
    byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
    rejected.write("worker", key, bytes, "no worker is taken from it", new IOException(reason));
  }

  /** Guards against an entry that is ignored without a trace, or named at each read. */
  @Example
  void eachContentIsNamedOnce() {
    reject("i-1", "a", "field cpu is odd");
    reject("i-1", "a", "field cpu is odd");
    reject("i-1", "b", "field cpu is odd");
    reject("i-2", "b", "field cpu is odd");
    assertThat(log.lines())
        .containsExactly(
            "worker entry i-1 cannot be used, no worker is taken from it: field cpu is odd",
            "worker entry i-1 cannot be used, no worker is taken from it: field cpu is odd",
            "worker entry i-2 cannot be used, no worker is taken from it: field cpu is odd");
    assertThat(CellMetricsText.value(metrics, "cicadaford_cell_rejected_entries_total"))
        .isEqualTo(4);
  }

  /** Guards against a line without end, and against one that looks like several. */
  @Example
  void keyAndReasonAreBoundedAndEscaped() {
    reject("a\nb\u0000\u202e" + "k".repeat(9_000), "a", "x\r\n" + "r".repeat(9_000));
    assertThat(log.lines()).hasSize(1);
    assertThat(log.lines().getFirst())
        .hasSizeLessThan(500)
        .contains("a\\u000ab\\u0000\\u202ek")
        .contains("x\\u000d\\u000ar")
        .matches("[ -~]+");
  }

  /** Guards against a flood of odd entries that displaces all other lines. */
  @Example
  void linesPerSecondAreBounded() {
    for (int entry = 0; entry < 10_000; entry++) {
      reject("i-" + entry, "a", "odd");
    }
    assertThat(log.lines()).hasSize(5);
    assertThat(CellMetricsText.value(metrics, "cicadaford_cell_rejected_entries_total"))
        .isEqualTo(10_000);
    assertThat(CellMetricsText.value(metrics, "cicadaford_cell_log_lines_dropped_total"))
        .isEqualTo(9_995);
    nowMillis += 1_000;
    reject("i-new", "a", "odd");
    assertThat(log.lines()).hasSize(6);
  }

  /** Guards against an unchecked exception that is named without its type. */
  @Example
  void uncheckedExceptionsAreNamedWithTheirType() {
    rejected.write("worker", "i-1", new byte[0], "ignored", new IllegalStateException("x"));
    rejected.write("worker", "i-2", new byte[0], "ignored", new StackOverflowError());
    assertThat(log.lines().get(0)).endsWith("IllegalStateException: x");
    assertThat(log.lines().get(1)).contains("StackOverflowError");
  }
}
