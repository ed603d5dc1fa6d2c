package org.cicadaford.coordinator;

/** Lists the outcomes of an append to the cell's journal. */
public enum AppendOutcome {
  /** The records are stored. */
  STORED,
  /** A coordinator with a higher epoch has claimed the journal, or its end has moved. */
  FENCED,
  /** The store rejected the call, and nothing was stored. */
  REFUSED,
  /** The records may or may not be stored; the same append can be repeated safely. */
  UNKNOWN
}
