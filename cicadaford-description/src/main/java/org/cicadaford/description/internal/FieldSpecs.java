package org.cicadaford.description.internal;

import static org.cicadaford.description.internal.FieldSpec.optional;
import static org.cicadaford.description.internal.FieldSpec.required;

import java.util.List;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.Urgency;

/** Defines the fields of description files. */
final class FieldSpecs {

  /** Keys of the top-level lists of a file. */
  static final String JOBS = "jobs";

  static final String TEAMS = "teams";
  static final String QUEUES = "queues";

  private static final int MAX_ACCELERATORS = 64;
  private static final int MAX_SHARE = 1_000;

  static final FieldSpec<String> NAME =
      required("name", ValueTypes.name(), "Name, unique among all published files.");
  static final FieldSpec<String> TEAM =
      required("team", ValueTypes.name(), "Team whose quota the job uses.");
  static final FieldSpec<JobKind> KIND =
      required(
          "kind",
          ValueTypes.choice(JobKind.class),
          "Services run until they are removed; tasks of a batch job run independently;"
              + " tasks of a gang job start all at once or not at all.");
  static final FieldSpec<String> QUEUE =
      required("queue", ValueTypes.name(), "Queue that accepts the job.");
  static final FieldSpec<Urgency> URGENCY =
      optional(
          "urgency",
          ValueTypes.choice(Urgency.class),
          Urgency.NORMAL,
          "normal",
          "Placement priority. Urgent work should start within 1.2 s;"
              + " deferrable work may wait until shortly before its deadline.");
  static final FieldSpec<Long> PROCESSORS =
      required(
          "processors", ValueTypes.cores("0.001", 1_024), "Processors that each task reserves.");
  static final FieldSpec<Long> MEMORY =
      required("memory", ValueTypes.memory(65_536), "Memory that each task reserves.");
  static final FieldSpec<Integer> ACCELERATORS =
      optional(
          "accelerators",
          ValueTypes.count(0, MAX_ACCELERATORS),
          0,
          "0",
          "Whole accelerators that each task reserves.");
  static final FieldSpec<Integer> TASKS =
      optional(
          "tasks", ValueTypes.count(1, JobDescription.MAX_TASK_COUNT), 1, "1", "Number of tasks.");
  static final FieldSpec<List<String>> ZONES =
      optional(
          "zones", ValueTypes.zones(), List.of(), "all", "Availability zones where tasks may run.");
  static final FieldSpec<Integer> SPREAD =
      optional(
          "spread",
          ValueTypes.count(1, JobDescription.MAX_TASK_COUNT),
          0,
          "no limit",
          "Maximum number of tasks in one rack.");
  static final FieldSpec<Long> DEADLINE =
      optional(
          "deadline",
          ValueTypes.duration(1, 366),
          0L,
          "none",
          "Time after submission by which the job must end; not for services.");
  static final FieldSpec<Long> EXPECTED_RUN =
      optional(
          "expected-run",
          ValueTypes.duration(0, 366),
          0L,
          "unknown",
          "Expected run time of a task; not for services.");
  static final FieldSpec<Boolean> CHECKPOINT =
      optional(
          "checkpoint",
          ValueTypes.flag(),
          false,
          "false",
          "Whether a task can be stopped with a checkpoint and resumed.");
  static final FieldSpec<Boolean> REPEATABLE =
      optional(
          "repeatable",
          ValueTypes.flag(),
          false,
          "false",
          "Whether a task may be started again after it may have run.");
  static final FieldSpec<String> PROGRAM =
      required("program", ValueTypes.program(), "Command that a worker runs.");

  static final FieldSpec<Integer> SHARE =
      optional(
          "share",
          ValueTypes.count(1, MAX_SHARE),
          1,
          "1",
          "Relative weight of the team when a full cell is shared among teams.");
  static final FieldSpec<Long> QUOTA =
      required(
          "quota",
          ValueTypes.cores("0", 10_000_000),
          "Upper limit on the processors of all running tasks of the team across the fleet.");

  static final FieldSpec<Boolean> OPEN_TO_ALL =
      optional(
          "open-to-all",
          ValueTypes.flag(),
          false,
          "false",
          "Whether the queue accepts work without a team's API key.");

  static final List<FieldSpec<?>> OF_JOB =
      List.of(
          NAME,
          TEAM,
          KIND,
          QUEUE,
          URGENCY,
          PROCESSORS,
          MEMORY,
          ACCELERATORS,
          TASKS,
          ZONES,
          SPREAD,
          DEADLINE,
          EXPECTED_RUN,
          CHECKPOINT,
          REPEATABLE,
          PROGRAM);
  static final List<FieldSpec<?>> OF_TEAM = List.of(NAME, SHARE, QUOTA);
  static final List<FieldSpec<?>> OF_QUEUE = List.of(NAME, OPEN_TO_ALL);

  private FieldSpecs() {}
}
