package org.cicadaford.cell;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;

/**
 * Remembers, across coordinators, the runs on which internal faults occurred.
 *
 * <p>A successor reads the input that its predecessor failed on, so without this one run can end
 * all coordinators of the cell. The job of a run that has ended {@link #MAX_FAULTS} coordinators is
 * not restored: it fails, and its runs are stopped where workers list them.
 */
final class FaultHistory {

  /** Number of coordinators that a run may end before its job is given up. */
  static final int MAX_FAULTS = 2;

  private static final String PREFIX = "f/";

  private static final byte[] DELETED = new byte[0];

  private final Map<String, RunFault> faultByJob = new HashMap<>();

  /** Returns whether a record belongs to the history. */
  static boolean isKey(String key) {
    return key.startsWith(PREFIX);
  }

  /**
   * Restores a record.
   *
   * @throws MalformedRecordException if it cannot be decoded
   */
  void restore(RecordWrite write) throws MalformedRecordException {
    RunFault fault = RecordCodec.decode(write.value(), RunFault.class);
    if (fault.task() == null) {
      throw new MalformedRecordException(RunFault.class, null);
    }
    faultByJob.put(write.owner(), fault);
  }

  /** Returns the fault for which a job is to be given up. */
  Optional<RunFault> exhausted(String jobId) {
    return Optional.ofNullable(faultByJob.get(jobId)).filter(fault -> fault.count() >= MAX_FAULTS);
  }

  /** Returns the record of a further fault, which occurred on a run of a job. */
  RecordWrite recordOf(String jobId, String task, int run) {
    RunFault earlier = faultByJob.get(jobId);
    int count = earlier != null && earlier.concerns(task, run) ? earlier.count() + 1 : 1;
    return new RecordWrite(PREFIX + jobId, RecordCodec.encode(new RunFault(task, run, count)));
  }

  /** Forgets the faults of a job that is removed; returns the deletion of their record, if any. */
  Optional<RecordWrite> remove(String jobId) {
    return Optional.ofNullable(faultByJob.remove(jobId))
        .map(fault -> new RecordWrite(PREFIX + jobId, DELETED));
  }

  /** Forgets the faults of jobs that are not known; returns the deletions of their records. */
  List<RecordWrite> retainJobs(Set<String> jobIds) {
    List<String> unknown = faultByJob.keySet().stream().filter(id -> !jobIds.contains(id)).toList();
    return unknown.stream().flatMap(id -> remove(id).stream()).toList();
  }
}
