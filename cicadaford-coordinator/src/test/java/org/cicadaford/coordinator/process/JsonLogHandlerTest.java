package org.cicadaford.coordinator.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import net.jqwik.api.Example;

/** Tests {@link JsonLogHandler}. */
class JsonLogHandlerTest {

  /** Guards against output that is not valid JSON, and against lost stack traces. */
  @Example
  void eachRecordIsOneLineOfJson() throws IOException {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    JsonLogHandler handler = new JsonLogHandler(output, 10);
    handler.start();
    LogRecord line = new LogRecord(Level.WARNING, "a \"quoted\"\nmessage");
    line.setLoggerName("org.cicadaford.decision");
    line.setThrown(new IOException("connection lost"));
    handler.publish(line);
    handler.close();
    String[] lines = output.toString(StandardCharsets.UTF_8).split("\n");
    assertThat(lines.length).isEqualTo(1);
    JsonNode read = new ObjectMapper().readTree(lines[0]);
    assertThat(read.path("level").asText()).isEqualTo("WARN");
    assertThat(read.path("logger").asText()).isEqualTo("org.cicadaford.decision");
    assertThat(read.path("message").asText()).isEqualTo("a \"quoted\"\nmessage");
    assertThat(read.path("exception").asText()).contains("connection lost");
  }

  /** Guards against blocking the process when its output is not read. */
  @Example
  void fullOutputDropsLinesAndNeverBlocks() {
    CountDownLatch reading = new CountDownLatch(1);
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    JsonLogHandler handler = new JsonLogHandler(blockedUntil(reading, output), 10);
    handler.start();
    for (int line = 0; line < 1_000; line++) {
      handler.publish(new LogRecord(Level.INFO, "line " + line));
    }
    reading.countDown();
    handler.close();
    String text = output.toString(StandardCharsets.UTF_8);
    assertThat(text).contains("line 0");
    assertThat(text).contains("log lines were dropped so far");
  }

  private static OutputStream blockedUntil(CountDownLatch reading, OutputStream output) {
    return new OutputStream() {
      @Override
      public void write(int value) throws IOException {
        write(new byte[] {(byte) value}, 0, 1);
      }

      @Override
      public void write(byte[] bytes, int offset, int length) throws IOException {
        try {
          reading.await();
        } catch (InterruptedException e) {
          throw new IOException(e);
        }
        output.write(bytes, offset, length);
      }
    };
  }
}
