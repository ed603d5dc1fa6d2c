package org.cicadaford.bench;

import java.util.ArrayList;
import java.util.List;
import org.cicadaford.decision.ConfigState;
import org.cicadaford.decision.ListedWorker;
import org.cicadaford.decision.OwnerInputs;
import org.cicadaford.decision.ZoneState;
import org.cicadaford.model.ConfigRecord.AllotmentTaken;
import org.cicadaford.model.ConfigRecord.ConfigPublished;
import org.cicadaford.model.ConfigRecord.ZoneBroughtIn;
import org.cicadaford.model.ConfigRecord.ZoneTakenOut;
import org.cicadaford.model.TeamPolicy;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneChange.WorkerListed;
import org.cicadaford.model.ZoneRecord;
import org.cicadaford.model.ZoneRecord.OwnerBatch;
import org.cicadaford.model.ZoneRecord.OwnerClaimed;

/** Holds the state and configuration of a zone with the workers and teams of a benchmark. */
public final class BenchmarkZone {

  /** Name of the zone. */
  public static final String NAME = "bench";

  private final ZoneState state = new ZoneState();
  private final ConfigState config = new ConfigState();
  private final List<ListedWorker> workers;
  private final List<ZoneRecord> stream = new ArrayList<>();
  private final boolean keepStream;
  private long configOffset = -1;

  /**
   * Creates a zone in which the allotment of each team is its whole limit.
   *
   * @param keepStream whether the records of the zone are retained for replay
   */
  public BenchmarkZone(List<ListedWorker> workers, List<TeamPolicy> teams, boolean keepStream) {
    this.workers = List.copyOf(workers);
    this.keepStream = keepStream;
    config.apply(
        ++configOffset,
        new ConfigPublished("p", -1, List.of(), teams, List.of(), List.of(), List.of(), List.of()));
    for (TeamPolicy team : teams) {
      long sequence = ++configOffset;
      config.apply(
          sequence,
          new AllotmentTaken("t", NAME, 0, sequence, team.name(), team.limitMillicores()));
    }
    append(new OwnerClaimed("c", "owner", 0));
    List<ZoneChange> changes = new ArrayList<>();
    for (ListedWorker worker : workers) {
      changes.add(new WorkerListed(worker.workerId(), worker.rack(), worker.capacity()));
    }
    record(changes, 0);
  }

  private void append(ZoneRecord record) {
    state.apply(state.appliedOffset() + 1, record);
    if (keepStream) {
      stream.add(record);
    }
  }

  /** Appends changes as the next batch of the owner. */
  public void record(List<ZoneChange> changes, long nowMillis) {
    append(
        new OwnerBatch(
            "b", state.epoch(), state.sequence() + 1, nowMillis, configOffset, 0, changes));
  }

  /** Takes the zone out of service or returns it to service. */
  public void setOut(boolean out) {
    long version = config.zoneVersion(NAME);
    config.apply(
        ++configOffset,
        out ? new ZoneTakenOut("o", NAME, version) : new ZoneBroughtIn("i", NAME, version));
  }

  /** Returns the inputs of a scheduling decision. */
  public OwnerInputs inputs(long nowMillis) {
    return new OwnerInputs(state, config, nowMillis, nowMillis, workers, List.of(), 0);
  }

  /** Returns the current state of the zone. */
  public ZoneState state() {
    return state;
  }

  /** Returns all records of the zone, or none if they are not retained. */
  public List<ZoneRecord> stream() {
    return List.copyOf(stream);
  }
}
