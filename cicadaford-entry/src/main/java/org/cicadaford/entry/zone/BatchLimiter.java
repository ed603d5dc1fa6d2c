package org.cicadaford.entry.zone;

import java.util.List;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneChange.JobAdmitted;
import org.cicadaford.model.ZoneChange.JobClosed;
import org.cicadaford.model.ZoneChange.TaskEnded;
import org.cicadaford.model.ZoneChange.TaskPlaced;

/**
 * Limits the size of a batch, since the log accepts records of at most 1 MiB.
 *
 * <p>Changes that are left out are decided again for the next batch. Admissions come first and are
 * limited when the requests are read, so the requests offset of the batch stays correct.
 */
final class BatchLimiter {

  private static final long MAX_BATCH_BYTES = 700 * 1024;

  private BatchLimiter() {}

  static List<ZoneChange> limit(List<ZoneChange> changes) {
    long bytes = 0;
    int count = 0;
    for (ZoneChange change : changes) {
      bytes += estimatedBytes(change);
      if (bytes > MAX_BATCH_BYTES && !isAdmissionOrClose(change)) {
        return changes.subList(0, firstPlacementOfJob(changes, count));
      }
      count++;
    }
    return changes;
  }

  /** Returns the first placement of the job at {@code index}, so that gangs are not split. */
  private static int firstPlacementOfJob(List<ZoneChange> changes, int index) {
    int start = index;
    while (start > 0 && isSameJob(changes.get(start - 1), changes.get(index))) {
      start--;
    }
    return start == 0 ? index : start;
  }

  private static boolean isSameJob(ZoneChange before, ZoneChange change) {
    return before instanceof TaskPlaced first
        && change instanceof TaskPlaced second
        && first.taskId().jobId().equals(second.taskId().jobId());
  }

  private static boolean isAdmissionOrClose(ZoneChange change) {
    return change instanceof JobAdmitted || change instanceof JobClosed;
  }

  private static long estimatedBytes(ZoneChange change) {
    return switch (change) {
      case JobAdmitted admitted ->
          512 + admitted.description().program().length() + 3L * admitted.taskIndexes().size();
      case TaskEnded ended -> 192 + 3L * (ended.answer() == null ? 0 : ended.answer().length());
      case JobClosed closed -> 192 + 3L * closed.reason().length();
      default -> 256;
    };
  }
}
