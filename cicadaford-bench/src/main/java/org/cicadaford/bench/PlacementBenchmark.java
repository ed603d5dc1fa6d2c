package org.cicadaford.bench;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cicadaford.model.Resources;
import org.cicadaford.model.ZoneChange;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures single decisions with 530 workers and 8,300 running tasks. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 4, time = 1)
@Fork(1)
public class PlacementBenchmark {

  /** Number of waiting jobs that do not fit. */
  @Param({"0", "100000"})
  public int blockedJobs;

  private LoadedZone zone;

  /** Fills the zone and admits one task that fits. */
  @Setup
  public void fill() {
    zone = new LoadedZone(WorkloadGenerator.WORKERS, WorkloadGenerator.RUNNING_TASKS, 310, false);
    zone.admitBlocked(blockedJobs);
    zone.admit(new Resources(100, 128, 0), 1);
  }

  /** Decides without recording the decision, so that each call does the same work. */
  @Benchmark
  public List<ZoneChange> decide() {
    return zone.decide();
  }
}
