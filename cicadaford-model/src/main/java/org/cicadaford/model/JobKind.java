package org.cicadaford.model;

/** Kinds of work, which differ in policy. */
public enum JobKind {
  /** Tasks that run until they are withdrawn and are replaced when they fail. */
  SERVICE,
  /** Independent tasks that each run to their end. */
  BATCH,
  /** Tasks that start all at once or not at all. */
  GANG
}
