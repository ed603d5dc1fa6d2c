package org.cicadaford.model;

/** Represents a record of one of the scheduler's log streams. */
public sealed interface LogRecord permits ConfigRecord, RequestRecord, ZoneRecord {

  /** Returns the id by which the writer finds its record after an append without an answer. */
  String recordId();
}
