package org.cicadaford.decision;

import java.util.List;
import org.cicadaford.model.ZoneChange;

/** What the reducer made of a zone record at its offset. */
public sealed interface ZoneApplyResult {

  /**
   * The record took effect.
   *
   * @param rejectedChanges changes of a batch that were not valid and have no effect
   */
  record Applied(List<ZoneChange> rejectedChanges) implements ZoneApplyResult {}

  /**
   * The record has no effect.
   *
   * @param reason why
   */
  record Ignored(String reason) implements ZoneApplyResult {}
}
