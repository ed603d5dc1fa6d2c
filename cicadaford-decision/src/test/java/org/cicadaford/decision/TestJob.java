package org.cicadaford.decision;

import java.util.List;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.Resources;
import org.cicadaford.model.Urgency;

/** Builds job descriptions for tests. */
final class TestJob {

  private final String team;
  private final Resources size;
  private final int taskCount;
  private JobKind kind = JobKind.BATCH;
  private Urgency urgency = Urgency.NORMAL;
  private int maxTasksPerRack;
  private long deadlineMillis;
  private long expectedRunMillis = 10_000;
  private boolean repeatable = true;

  TestJob(String team, Resources size, int taskCount) {
    this.team = team;
    this.size = size;
    this.taskCount = taskCount;
  }

  TestJob kind(JobKind newKind) {
    kind = newKind;
    return this;
  }

  TestJob urgency(Urgency newUrgency) {
    urgency = newUrgency;
    return this;
  }

  TestJob maxTasksPerRack(int bound) {
    maxTasksPerRack = bound;
    return this;
  }

  TestJob deadline(long newDeadlineMillis, long newExpectedRunMillis) {
    deadlineMillis = newDeadlineMillis;
    expectedRunMillis = newExpectedRunMillis;
    return this;
  }

  TestJob repeatable(boolean newRepeatable) {
    repeatable = newRepeatable;
    return this;
  }

  JobDescription build() {
    return new JobDescription(
        "job",
        team,
        kind,
        "queue",
        urgency,
        size,
        taskCount,
        List.of(),
        maxTasksPerRack,
        deadlineMillis,
        expectedRunMillis,
        false,
        repeatable,
        "run");
  }
}
