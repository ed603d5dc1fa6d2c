package org.cicadaford.cell;

/** Evaluates whether a worker can run a task and how well it suits. */
final class WorkerEvaluator {

  /** Penalties of a worker for a task; each outweighs the sum of all smaller ones. */
  private static final int FAILED_TASK_PENALTY = 8;

  private static final int FAILED_OTHERS_PENALTY = 4;
  private static final int REMOTE_DATA_PENALTY = 2;
  private static final int OTHER_ZONE_PENALTY = 1;

  /** Maximum penalty of a worker. */
  static final int MAX_PENALTY =
      FAILED_TASK_PENALTY + FAILED_OTHERS_PENALTY + REMOTE_DATA_PENALTY + OTHER_ZONE_PENALTY;

  private WorkerEvaluator() {}

  /** Returns whether a task may run on a worker and fits into its free capacity. */
  static boolean fits(Task task, Worker worker) {
    StepRun step = task.step();
    int limit = step.spec().maxTasksPerWorker();
    return acceptsTask(worker)
        && hasRequiredLabel(step.spec(), worker)
        && (limit <= 0 || step.placedOn(worker) < limit)
        && step.spec().reservation().fitsIn(worker.free());
  }

  /** Returns how many more tasks of a step a worker can run now. */
  static int availableSlots(StepRun step, Worker worker) {
    if (!acceptsTask(worker) || !hasRequiredLabel(step.spec(), worker)) {
      return 0;
    }
    int slots = step.spec().slotsIn(worker.free());
    if (worker.quarantine().suspected()) {
      slots = Math.min(slots, 1);
    }
    int limit = step.spec().maxTasksPerWorker();
    return limit <= 0 ? slots : Math.max(0, Math.min(slots, limit - step.placedOn(worker)));
  }

  /** Next to an isolated start, or to a probe after several failures, a worker gets no task. */
  private static boolean acceptsTask(Worker worker) {
    return worker.startSurvival().isolated().isEmpty()
        && !worker.quarantine().probeRuns(worker.placements().values());
  }

  /** Returns whether a worker suits a task better than the best one so far. */
  static boolean isBetter(Task task, Worker worker, Worker best) {
    int difference = Integer.compare(penalty(task, worker), penalty(task, best));
    if (difference != 0) {
      return difference < 0;
    }
    return worker.free().processorsMillicores() < best.free().processorsMillicores();
  }

  /** Returns the penalty of a worker for a task; 0 is the best. */
  static int penalty(Task task, Worker worker) {
    String dataRack = task.step().spec().dataRack();
    int penalty = 0;
    if (task.failedOn().contains(worker.id())) {
      penalty += FAILED_TASK_PENALTY;
    }
    if (task.failedCount() > 0 && worker.quarantine().failuresInARow() > 0) {
      penalty += FAILED_OTHERS_PENALTY;
    }
    if (!dataRack.isEmpty() && !dataRack.equals(worker.listing().rack())) {
      penalty += REMOTE_DATA_PENALTY;
    }
    if (!inSubmissionZone(task.step(), worker)) {
      penalty += OTHER_ZONE_PENALTY;
    }
    return penalty;
  }

  /** Returns a penalty without the part for another zone than that of the job. */
  static int withoutZone(int penalty) {
    return penalty & ~OTHER_ZONE_PENALTY;
  }

  /** Returns whether a worker has the label that a step requires. */
  static boolean hasRequiredLabel(StepSpec spec, Worker worker) {
    return spec.requiredLabel().isEmpty()
        || worker.listing().labels().contains(spec.requiredLabel());
  }

  /** Returns whether a worker is in the zone in which the job was submitted. */
  static boolean inSubmissionZone(StepRun step, Worker worker) {
    return step.job().zone().equals(worker.listing().zone());
  }
}
