package org.cicadaford.cell;

/**
 * Names the input that a coordinator is applying, and the run that it concerns, for the report of a
 * fault. An input stays named until the next one.
 */
final class CurrentInput {

  private String kind = "none";
  private String id = "";
  private String task = "";
  private int run;

  /** Records that an input is being applied, which concerns no run yet. */
  void begin(String newKind, String newId) {
    kind = newKind;
    id = newId;
    task = "";
    run = 0;
  }

  /** Records the run that the input is being applied to. */
  void concerns(String newTask, int newRun) {
    task = newTask;
    run = newRun;
  }

  /** Returns a description as {@code name=value} pairs. */
  @Override
  public String toString() {
    return "input=" + kind + " from=" + id + " task=" + task + " run=" + run;
  }
}
