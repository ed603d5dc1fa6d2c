package org.cicadaford.cli.internal.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.uuid.Generators;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cicadaford.cli.ExitCode;
import org.cicadaford.cli.internal.entry.EntryAnswer;
import org.cicadaford.cli.internal.entry.EntryClient;
import picocli.CommandLine.Option;

/** Base class of commands that send a request to an entry daemon. */
abstract class EntryCommand extends SessionCommand {

  static final String JSON = "application/json";

  private static final ObjectMapper MAPPER = new ObjectMapper();

  @Option(
      names = "--timeout",
      paramLabel = "MILLIS",
      defaultValue = "10000",
      description = "Timeout of the request. Default: 10000.")
  private long timeoutMillis;

  EntryCommand(Session session) {
    super(session);
  }

  final long timeoutMillis() {
    return timeoutMillis;
  }

  final Map<String, String> headers() {
    Map<String, String> headers = new LinkedHashMap<>();
    if (!session().key().isEmpty()) {
      headers.put("Cicadaford-Key", session().key());
    }
    return headers;
  }

  final String newRequestId() {
    Environment environment = session().environment();
    return Generators.timeBasedEpochGenerator(environment.random())
        .construct(environment.clock().getAsLong())
        .toString();
  }

  /** Returns the fields of a JSON answer as a result. */
  static CommandResult resultOf(EntryAnswer answer) {
    JsonNode json = EntryClient.parse(answer);
    Map<String, Object> fields = new LinkedHashMap<>();
    json.properties().forEach(field -> fields.put(field.getKey(), field.getValue()));
    List<String> text =
        fields.isEmpty() ? List.of(answer.text()) : List.of(toJson(json).stripTrailing());
    return new CommandResult(ExitCode.OK, text, fields);
  }

  static byte[] jsonBytes(Object value) {
    return MAPPER.valueToTree(value).toString().getBytes(StandardCharsets.UTF_8);
  }
}
