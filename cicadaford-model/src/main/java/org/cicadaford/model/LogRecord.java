package org.cicadaford.model;

/** A record of one of the scheduler's log streams. */
public sealed interface LogRecord permits ConfigRecord, RequestRecord, ZoneRecord {

  /** Returns the id by which the writer finds its record again after a lost answer. */
  String recordId();
}
