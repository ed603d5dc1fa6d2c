package org.cicadaford.model;

/** Kind of a job, which determines how its tasks are placed and restarted. */
public enum JobKind {
  /** Tasks run until they are cancelled and are replaced when they fail. */
  SERVICE,
  /** Tasks are independent and each run to completion. */
  BATCH,
  /** Tasks start all together or not at all. */
  GANG
}
