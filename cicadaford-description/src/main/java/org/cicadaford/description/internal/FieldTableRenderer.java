package org.cicadaford.description.internal;

import java.util.List;

/** Renders the fields of description files as Markdown tables. */
public final class FieldTableRenderer {

  private FieldTableRenderer() {}

  /** Returns the table of the fields of a job. */
  public static String renderJobFields() {
    return renderTable(FieldSpecs.OF_JOB);
  }

  /** Returns the table of the fields of a team. */
  public static String renderTeamFields() {
    return renderTable(FieldSpecs.OF_TEAM);
  }

  /** Returns the table of the fields of a queue. */
  public static String renderQueueFields() {
    return renderTable(FieldSpecs.OF_QUEUE);
  }

  private static String renderTable(List<FieldSpec<?>> specs) {
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
