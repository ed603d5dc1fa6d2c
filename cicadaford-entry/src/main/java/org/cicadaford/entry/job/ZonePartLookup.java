package org.cicadaford.entry.job;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.entry.job.JobReport.ZonePart;

/** Looks up parts of jobs in other availability zones. */
public interface ZonePartLookup {

  /** Returns the part of a job in {@code zone}, or empty if the zone cannot be reached. */
  CompletableFuture<Optional<ZonePart>> find(String zone, String jobId);

  /** Returns a lookup that reaches no other zone. */
  static ZonePartLookup none() {
    return (zone, jobId) -> CompletableFuture.completedFuture(Optional.empty());
  }
}
