package org.cicadaford.coordinator;

/** Lists the outcomes of an append to the cell's journal. */
public enum AppendOutcome {
  /** The records are stored. */
  STORED,
  /** A coordinator with a higher epoch has claimed the journal, or its end has moved. */
  FENCED,
  /** The store rejected the call, nothing was stored, and a repeated call may succeed. */
  REFUSED,
  /**
   * The store rejected the content, for example a record that is too large. Nothing was stored, the
   * sequence number is not used up, and the same append is never accepted.
   */
  REJECTED,
  /** The records may or may not be stored; the same append can be repeated safely. */
  UNKNOWN
}
