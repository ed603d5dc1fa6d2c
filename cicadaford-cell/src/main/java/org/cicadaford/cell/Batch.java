package org.cicadaford.cell;

import java.util.List;

/**
 * Changes that are stored together, and what may be done once they are stored.
 *
 * @param writes records to store, all or none
 * @param afterwards actions that rely on the records
 */
public record Batch(List<RecordWrite> writes, List<Action> afterwards) {}
