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

/** A zone's recorded state and configuration with the workers and teams of a benchmark. */
public final class BenchZone {

  /** Name of the zone. */
  public static final String NAME = "bench";

  private final ZoneState state = new ZoneState();
  private final ConfigState config = new ConfigState();
  private final List<ListedWorker> workers;
  private final List<ZoneRecord> stream = new ArrayList<>();
  private final boolean keepStream;
  private long configOffset = -1;

  /**
   * Creates a zone in which each team holds its whole limit.
   *
   * @param keepStream whether the zone's records are kept to be read again
   */
  public BenchZone(List<ListedWorker> workers, List<TeamPolicy> teams, boolean keepStream) {
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

  /** Records changes as the owner's next batch. */
  public void record(List<ZoneChange> changes, long nowMillis) {
    append(
        new OwnerBatch(
            "b", state.epoch(), state.sequence() + 1, nowMillis, configOffset, 0, changes));
  }

  /** Takes the zone out or brings it back in. */
  public void setOut(boolean out) {
    long version = config.zoneVersion(NAME);
    config.apply(
        ++configOffset,
        out ? new ZoneTakenOut("o", NAME, version) : new ZoneBroughtIn("i", NAME, version));
  }

  /** Returns what the scheduler decides from. */
  public OwnerInputs inputs(long nowMillis) {
    return new OwnerInputs(state, config, nowMillis, nowMillis, workers, List.of(), 0);
  }

  /** Returns the recorded state. */
  public ZoneState state() {
    return state;
  }

  /** Returns the zone's records from the first one on, if they are kept. */
  public List<ZoneRecord> stream() {
    return List.copyOf(stream);
  }
}
