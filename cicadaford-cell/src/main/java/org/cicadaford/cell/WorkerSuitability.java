package org.cicadaford.cell;

/** Tells whether a worker can take a task, and how well it suits. */
final class WorkerSuitability {

  /** Penalties of a worker for a task; each outweighs all smaller ones together. */
  private static final int HAS_FAILED_TASK = 8;

  private static final int HAS_FAILED_OTHERS = 4;
  private static final int FAR_FROM_DATA = 2;
  private static final int OTHER_ZONE = 1;

  /** Largest penalty that a worker can have. */
  static final int WORST_PENALTY = HAS_FAILED_TASK + HAS_FAILED_OTHERS + FAR_FROM_DATA + OTHER_ZONE;

  private WorkerSuitability() {}

  /** Returns whether a task may run on a worker and has room there. */
  static boolean fits(Task task, Worker worker) {
    StepRun step = task.step();
    int limit = step.spec().maxTasksPerWorker();
    return trusted(worker)
        && (limit <= 0 || step.placedOn(worker) < limit)
        && step.spec().reservation().fitsIn(worker.free());
  }

  /** Returns how many more tasks of a step a worker can take now. */
  static int openSlots(StepRun step, Worker worker) {
    if (!trusted(worker)) {
      return 0;
    }
    int slots = step.spec().slotsIn(worker.free());
    int limit = step.spec().maxTasksPerWorker();
    return limit <= 0 ? slots : Math.max(0, Math.min(slots, limit - step.placedOn(worker)));
  }

  /** After several failures in a row a worker has to prove itself with one step at a time. */
  private static boolean trusted(Worker worker) {
    return worker.failuresInARow() < Worker.FAILURES_BEFORE_QUARANTINE
        || worker.placements().isEmpty();
  }

  /** Returns whether a worker suits a task better than the best one so far. */
  static boolean better(Task task, Worker worker, Worker best) {
    int difference = Integer.compare(penalty(task, worker), penalty(task, best));
    if (difference != 0) {
      return difference < 0;
    }
    return worker.free().processorsMillicores() < best.free().processorsMillicores();
  }

  /** Returns what speaks against a worker; 0 if nothing does. */
  static int penalty(Task task, Worker worker) {
    String dataRack = task.step().spec().dataRack();
    int penalty = 0;
    if (task.failedOn().contains(worker.id())) {
      penalty += HAS_FAILED_TASK;
    }
    if (task.failedCount() > 0 && worker.failuresInARow() > 0) {
      penalty += HAS_FAILED_OTHERS;
    }
    if (!dataRack.isEmpty() && !dataRack.equals(worker.listing().rack())) {
      penalty += FAR_FROM_DATA;
    }
    if (!inHomeZone(task.step(), worker)) {
      penalty += OTHER_ZONE;
    }
    return penalty;
  }

  /** Returns whether a worker has the label that a step requires. */
  static boolean labelled(StepSpec spec, Worker worker) {
    return spec.requiredLabel().isEmpty()
        || worker.listing().labels().contains(spec.requiredLabel());
  }

  /** Returns whether a worker is in the zone in which the step's job was handed in. */
  static boolean inHomeZone(StepRun step, Worker worker) {
    return step.job().zone().equals(worker.listing().zone());
  }
}
