package org.cicadaford.cell;

import java.util.List;

/**
 * A set of changes that are stored atomically, and the actions that depend on them.
 *
 * @param writes records to store
 * @param dependentActions actions to carry out once the records are stored
 */
public record Batch(List<RecordWrite> writes, List<Action> dependentActions) {}
