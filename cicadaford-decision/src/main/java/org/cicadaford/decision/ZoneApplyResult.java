package org.cicadaford.decision;

import java.util.List;
import org.cicadaford.model.ZoneChange;

/** Reports whether a zone record at its offset took effect. */
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
