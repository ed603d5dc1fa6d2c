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
  private final FakeCell cell;
  private final long clockOffsetMillis;
  private final ZoneState zone = new ZoneState();
  private final ConfigState config = new ConfigState();
  private final Deque<AddressedCommand> outbox = new ArrayDeque<>();
  private final Deque<Runnable> inbox = new ArrayDeque<>();
  private final List<LeaseHandover> told = new ArrayList<>();
  private ZoneOwnerPlanner logic;
  private long ownEpoch = -1;
  private boolean claimed;
  private int zoneRead;
  private int configRead;
  private long confirmationBegunMillis;
  private long configConfirmedAtMillis;
  private long batchNumber;
  private long batchWrittenAtMillis;
  private long batchNumberWritten;
  long pausedUntilMillis;
  long cutOffUntilMillis;

  FakeOwner(String id, FakeCell cell, long clockOffsetMillis) {
    this.id = id;
    this.cell = cell;
    this.clockOffsetMillis = clockOffsetMillis;
  }

  long clockMillis() {
    return cell.nowMillis() + clockOffsetMillis;
  }

  boolean isOwner() {
    return logic != null;
  }

  private boolean isCutOff() {
    return cell.nowMillis() < cutOffUntilMillis;
  }

  void step() {
    if (cell.nowMillis() < pausedUntilMillis) {
      return;
    }
    while (!inbox.isEmpty()) {
      inbox.remove().run();
    }
    switch (cell.random(6)) {
      case 0 -> readZone();
      case 1, 2 -> confirmConfig();
      case 3 -> decide();
      default -> send();
    }
  }

  void claim() {
    claimed = true;
    if (!isCutOff()) {
      cell.zoneLog.append(new OwnerClaimed(id + "-claim-" + batchNumber++, id, clockMillis()));
    }
  }

  private void readZone() {
    if (isCutOff()) {
      return;
    }
    while (zoneRead < cell.zoneLog.records().size()) {
      zone.apply(zoneRead, cell.zoneLog.records().get(zoneRead));
      zoneRead++;
      if (logic != null && zone.epoch() != ownEpoch) {
        stepDown();
      }
    }
    if (claimed && logic == null && zone.ownerInstanceId().equals(id)) {
      ownEpoch = zone.epoch();
      logic =
          new ZoneOwnerPlanner(
              FakeCell.ZONE, FakeCell.SETTINGS, LifeCycleSettings.DEFAULT, ownEpoch, clockMillis());
      told.forEach(logic::onHandOver);
      batchWrittenAtMillis = 0;
    }
  }

  /** Steps down; commands already decided stay in the outbox and are sent late. */
  private void stepDown() {
    LeaseHandover handOver = logic.handOver(inputs(), clockMillis());
    logic = null;
    if (cell.random(2) == 0) {
      cell.tell(this, handOver);
    }
  }

  void onHandOver(LeaseHandover handOver) {
    inbox.add(
        () -> {
          told.add(handOver);
          if (logic != null) {
            logic.onHandOver(handOver);
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
    if (confirmationBegunMillis == 0) {
      confirmationBegunMillis = clockMillis();
      return;
    }
    while (configRead < cell.configLog.records().size()) {
      config.apply(configRead, cell.configLog.records().get(configRead));
      configRead++;
    }
    configConfirmedAtMillis = confirmationBegunMillis;
    confirmationBegunMillis = 0;
  }

  private OwnerInputs inputs() {
    List<RequestRecord> requests =
        cell.requests.subList((int) zone.requestsOffset(), cell.requests.size());
    return new OwnerInputs(
        zone,
        config,
        configConfirmedAtMillis,
        zone.lastBatchAtMillis(),
        cell.listedWorkers(),
        List.copyOf(requests),
        cell.requests.size());
  }

  private void decide() {
    if (logic == null) {
      return;
    }
    OwnerDecision decision = logic.decide(inputs(), clockMillis());
    outbox.addAll(decision.commands());
    if (!isCutOff()) {
      decision.allotmentChanges().forEach(this::appendAllotment);
    }
    boolean open =
        batchWrittenAtMillis > 0
            && clockMillis() < batchWrittenAtMillis + BATCH_TIMEOUT_MILLIS
            && zone.sequence() < batchNumberWritten;
    if (!open && !isCutOff()) {
      batchWrittenAtMillis = clockMillis();
      batchNumberWritten = zone.sequence() + 1;
      cell.zoneLog.append(
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
    cell.configLog.append(change.toRecord(recordId, FakeCell.ZONE, ownEpoch));
  }

  private void send() {
    int count = 1 + cell.random(8);
    for (int i = 0; i < count && !outbox.isEmpty(); i++) {
      AddressedCommand order = outbox.remove();
      ZoneOwnerPlanner sender = logic;
      long sentAtMillis = clockMillis();
      cell.deliver(
          this, order, answer -> inbox.add(() -> onAnswer(sender, order, answer, sentAtMillis)));
    }
  }

  private void onAnswer(
      ZoneOwnerPlanner sender, AddressedCommand order, WorkerAnswer answer, long sentAtMillis) {
    if (sender == null || sender != logic) {
      return;
    }
    if (answer == null) {
      logic.onUnreachable(order.workerId(), clockMillis());
    } else {
      logic.onAnswer(order, answer, sentAtMillis, clockMillis());
    }
  }
}
