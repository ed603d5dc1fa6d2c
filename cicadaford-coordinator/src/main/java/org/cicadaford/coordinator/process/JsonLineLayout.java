package org.cicadaford.coordinator.process;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.config.Configuration;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;

/** Writes each event as one line of JSON. */
final class JsonLineLayout extends AbstractStringLayout {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  JsonLineLayout(Configuration configuration) {
    super(configuration, StandardCharsets.UTF_8, null, null);
  }

  @Override
  public String toSerializable(LogEvent event) {
    ObjectNode line = MAPPER.createObjectNode();
    line.put("time", Instant.ofEpochMilli(event.getTimeMillis()).toString());
    line.put("level", event.getLevel().name());
    line.put("logger", event.getLoggerName());
    line.put("message", event.getMessage().getFormattedMessage());
    if (event.getThrown() != null) {
      StringWriter stackTrace = new StringWriter();
      event.getThrown().printStackTrace(new PrintWriter(stackTrace));
      line.put("exception", stackTrace.toString());
    }
    return line + "\n";
  }
}
