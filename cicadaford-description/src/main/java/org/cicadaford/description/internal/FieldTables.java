package org.cicadaford.description.internal;

import java.util.List;

/** Writes the fields of description files as Markdown tables. */
public final class FieldTables {

  private FieldTables() {}

  /** Returns the table of the fields of a job. */
  public static String ofJob() {
    return table(Fields.OF_JOB);
  }

  /** Returns the table of the fields of a team. */
  public static String ofTeam() {
    return table(Fields.OF_TEAM);
  }

  /** Returns the table of the fields of a queue. */
  public static String ofQueue() {
    return table(Fields.OF_QUEUE);
  }

  private static String table(List<FieldSpec<?>> specs) {
    StringBuilder table = new StringBuilder("| field | value | default | meaning |\n");
    table.append("| --- | --- | --- | --- |\n");
    for (FieldSpec<?> spec : specs) {
      String defaultText = spec.isRequired() ? "required" : spec.defaultText();
      table.append(
          "| `%s` | %s | %s | %s |\n"
              .formatted(spec.name(), spec.type().description(), defaultText, spec.meaning()));
    }
    return table.toString();
  }
}
