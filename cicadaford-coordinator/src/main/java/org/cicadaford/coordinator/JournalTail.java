package org.cicadaford.coordinator;

import java.util.List;
import java.util.Optional;
import org.cicadaford.cell.RecordWrite;

/**
 * The end of the journal and records that were appended since it was last read.
 *
 * @param end end position of the journal
 * @param records records after the end that the previous read returned, oldest first; only the
 *     first ones if there are many, and none for the first read
 */
public record JournalTail(long end, List<RecordWrite> records) {

  /** Returns the coordinator that the newest of the records names. */
  Optional<Leadership> coordinator() {
    return records.stream()
        .flatMap(write -> JournalHeartbeat.coordinatorIn(write).stream())
        .reduce((older, newer) -> newer);
  }
}
