package org.cicadaford.model;

/** Order in which waiting work is placed; earlier constants go first. */
public enum Urgency {
  /** Must start within 1.2 s. */
  URGENT,
  /** Ordinary work. */
  NORMAL,
  /** May wait until its deadline comes near. */
  DEFERRABLE
}
