package org.cicadaford.decision.fake;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.cicadaford.decision.AddressedCommand;
import org.cicadaford.decision.ConfigState;
import org.cicadaford.decision.LeaseHandover;
import org.cicadaford.decision.LifeCycleSettings;
import org.cicadaford.decision.OwnerDecision;
import org.cicadaford.decision.OwnerDecision.AllotmentChange;
import org.cicadaford.decision.OwnerInputs;
import org.cicadaford.decision.ZoneOwnerPlanner;
import org.cicadaford.decision.ZoneState;
import org.cicadaford.model.RequestRecord;
import org.cicadaford.model.WorkerAnswer;
import org.cicadaford.model.ZoneRecord.OwnerBatch;
import org.cicadaford.model.ZoneRecord.OwnerClaimed;

/**
 * Simulates an entry instance that follows its zone and sometimes owns it. It may pause between any
 * two steps.
 */
final class FakeOwner {

  private static final long BATCH_TIMEOUT_MILLIS = 800;

  final String id;
  private final SimulatedZone simulation;
  private final long clockOffsetMillis;
  private final ZoneState zone = new ZoneState();
  private final ConfigState config = new ConfigState();
  private final Deque<AddressedCommand> outbox = new ArrayDeque<>();
  private final Deque<Runnable> inbox = new ArrayDeque<>();
  private final List<LeaseHandover> receivedHandovers = new ArrayList<>();
  private ZoneOwnerPlanner planner;
  private long ownEpoch = -1;
  private boolean claimed;
  private int zoneRead;
  private int configRead;
  private long confirmationStartedAtMillis;
  private long configConfirmedAtMillis;
  private long batchNumber;
  private long batchWrittenAtMillis;
  private long batchNumberWritten;
  long pausedUntilMillis;
  long cutOffUntilMillis;

  FakeOwner(String id, SimulatedZone simulation, long clockOffsetMillis) {
    this.id = id;
    this.simulation = simulation;
    this.clockOffsetMillis = clockOffsetMillis;
  }

  long clockMillis() {
    return simulation.nowMillis() + clockOffsetMillis;
  }

  boolean isOwner() {
    return planner != null;
  }

  private boolean isCutOff() {
    return simulation.nowMillis() < cutOffUntilMillis;
  }

  void step() {
    if (simulation.nowMillis() < pausedUntilMillis) {
      return;
    }
    while (!inbox.isEmpty()) {
      inbox.remove().run();
    }
    switch (simulation.random(6)) {
      case 0 -> readZone();
      case 1, 2 -> confirmConfig();
      case 3 -> decide();
      default -> send();
    }
  }

  void claim() {
    claimed = true;
    if (!isCutOff()) {
      simulation.zoneLog.append(
          new OwnerClaimed(id + "-claim-" + batchNumber++, id, clockMillis()));
    }
  }

  private void readZone() {
    if (isCutOff()) {
      return;
    }
    while (zoneRead < simulation.zoneLog.records().size()) {
      zone.apply(zoneRead, simulation.zoneLog.records().get(zoneRead));
      zoneRead++;
      if (planner != null && zone.epoch() != ownEpoch) {
        stepDown();
      }
    }
    if (claimed && planner == null && zone.ownerInstanceId().equals(id)) {
      ownEpoch = zone.epoch();
      planner =
          new ZoneOwnerPlanner(
              SimulatedZone.ZONE,
              SimulatedZone.SETTINGS,
              LifeCycleSettings.DEFAULT,
              ownEpoch,
              clockMillis());
      receivedHandovers.forEach(planner::onHandOver);
      batchWrittenAtMillis = 0;
    }
  }

  /** Steps down; commands already decided stay in the outbox and are sent late. */
  private void stepDown() {
    LeaseHandover handOver = planner.handOver(inputs(), clockMillis());
    planner = null;
    if (simulation.random(2) == 0) {
      simulation.sendHandover(this, handOver);
    }
  }

  void onHandOver(LeaseHandover handOver) {
    inbox.add(
        () -> {
          receivedHandovers.add(handOver);
          if (planner != null) {
            planner.onHandOver(handOver);
          }
        });
  }

  /**
   * Takes the time first and reads the end of the stream in a later step, like a real request to
   * the log.
   */
  private void confirmConfig() {
    if (isCutOff()) {
      return;
    }
    if (confirmationStartedAtMillis == 0) {
      confirmationStartedAtMillis = clockMillis();
      return;
    }
    while (configRead < simulation.configLog.records().size()) {
      config.apply(configRead, simulation.configLog.records().get(configRead));
      configRead++;
    }
    configConfirmedAtMillis = confirmationStartedAtMillis;
    confirmationStartedAtMillis = 0;
  }

  private OwnerInputs inputs() {
    List<RequestRecord> requests =
        simulation.requests.subList((int) zone.requestsOffset(), simulation.requests.size());
    return new OwnerInputs(
        zone,
        config,
        configConfirmedAtMillis,
        zone.lastBatchAtMillis(),
        simulation.listedWorkers(),
        List.copyOf(requests),
        simulation.requests.size());
  }

  private void decide() {
    if (planner == null) {
      return;
    }
    OwnerDecision decision = planner.decide(inputs(), clockMillis());
    outbox.addAll(decision.commands());
    if (!isCutOff()) {
      decision.allotmentChanges().forEach(this::appendAllotment);
    }
    boolean batchPending =
        batchWrittenAtMillis > 0
            && clockMillis() < batchWrittenAtMillis + BATCH_TIMEOUT_MILLIS
            && zone.sequence() < batchNumberWritten;
    if (!batchPending && !isCutOff()) {
      batchWrittenAtMillis = clockMillis();
      batchNumberWritten = zone.sequence() + 1;
      simulation.zoneLog.append(
          new OwnerBatch(
              id + "-batch-" + batchNumber++,
              ownEpoch,
              batchNumberWritten,
              clockMillis(),
              config.version(),
              decision.requestsOffset(),
              decision.changes()));
    }
  }

  private void appendAllotment(AllotmentChange change) {
    String recordId = id + "-allotment-" + batchNumber++;
    simulation.configLog.append(change.toRecord(recordId, SimulatedZone.ZONE, ownEpoch));
  }

  private void send() {
    int count = 1 + simulation.random(8);
    for (int i = 0; i < count && !outbox.isEmpty(); i++) {
      AddressedCommand command = outbox.remove();
      ZoneOwnerPlanner sender = planner;
      long sentAtMillis = clockMillis();
      simulation.deliver(
          this,
          command,
          answer -> inbox.add(() -> onAnswer(sender, command, answer, sentAtMillis)));
    }
  }

  private void onAnswer(
      ZoneOwnerPlanner sender, AddressedCommand command, WorkerAnswer answer, long sentAtMillis) {
    if (sender == null || sender != planner) {
      return;
    }
    if (answer == null) {
      planner.onUnreachable(command.workerId(), clockMillis());
    } else {
      planner.onAnswer(command, answer, sentAtMillis, clockMillis());
    }
  }
}
