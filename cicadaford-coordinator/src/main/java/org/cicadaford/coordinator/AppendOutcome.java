package org.cicadaford.coordinator;

/** Outcomes of an append to the cell's journal. */
public enum AppendOutcome {
  /** The records are stored. */
  STORED,
  /** A coordinator with a higher epoch has taken over, or the journal has moved on. */
  FENCED,
  /** Nothing was stored; the store refused the call. */
  REFUSED,
  /** It is not known whether the records are stored; the same append may be repeated. */
  UNKNOWN
}
