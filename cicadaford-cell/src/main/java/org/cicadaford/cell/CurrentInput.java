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

  /** Placement whose effects are being accounted for, or null. */
  private Placement placement;

  /** Records that an input is being applied, which concerns no run yet. */
  void begin(String newKind, String newId) {
    kind = newKind;
    id = newId;
    placement = null;
    concerns("", 0);
  }

  /** Records the run that the input is being applied to. */
  void concerns(String newTask, int newRun) {
    task = newTask;
    run = newRun;
  }

  /** Records that the input is applied to no run in particular from now on. */
  void concernsNoRun() {
    concerns("", 0);
  }

  /** Records that a placement is being added or released, whatever led to it. */
  void beginAccounting(Placement accounted) {
    placement = accounted;
  }

  void endAccounting() {
    placement = null;
  }

  /** Returns the task that the input is being applied to, or an empty string. */
  String task() {
    return placement == null ? task : placement.task().name();
  }

  /** Returns the number of the run that the input is being applied to, or 0. */
  int run() {
    return placement == null ? run : placement.run();
  }

  /** Returns a description as {@code name=value} pairs. */
  @Override
  public String toString() {
    return "input=" + kind + " from=" + id + " task=" + task() + " run=" + run();
  }
}
