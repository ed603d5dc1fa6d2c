package org.cicadaford.entry.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cicadaford.decision.ApplyResult;
import org.cicadaford.decision.RequestLedger;
import org.cicadaford.decision.RequestLedger.CallEntry;
import org.cicadaford.model.RequestRecord;
import org.cicadaford.model.RequestRecord.CallClaimed;
import org.cicadaford.model.RequestRecord.CallFinished;
import org.cicadaford.platform.EndpointService;

/** Simulates entry instances that share one log, in virtual time and with seeded random faults. */
final class SimulatedCell {

  static final long START_MILLIS = 1_000_000_000_000L;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparing(Event::order));
  private final List<RequestRecord> stream = new ArrayList<>();
  final UniformRandomProvider random;
  private long nowMillis = START_MILLIS;
  private long order;

  private record Event(long atMillis, long order, Runnable step) {}

  SimulatedCell(long seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  long nowMillis() {
    return nowMillis;
  }

  /** Returns a new request id with the current virtual time. */
  String newRequestId() {
    long timeAndVersion = nowMillis << 16 | 0x7000;
    long variantAndRandom = Long.MIN_VALUE | random.nextLong() >>> 2;
    return new UUID(timeAndVersion, variantAndRandom).toString();
  }

  boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  void scheduleAfter(long delayMillis, Runnable step) {
    events.add(new Event(nowMillis + Math.max(0, delayMillis), order++, step));
  }

  void run() {
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowMillis = event.atMillis();
      event.step().run();
    }
  }

  /** Simulates one process lifetime of an entry instance. */
  final class Process implements CallEventLoop, RequestAppender {

    final CallService service;
    private final RequestLedger ledger = new RequestLedger();
    private final Map<Long, ApplyResult> verdicts = new HashMap<>();
    private long pausedUntilMillis;
    private boolean crashed;

    Process(String instanceId, EndpointService endpoints) {
      CallSettings settings = new CallSettings(instanceId, "z1", 1_000, 8, 1_500, 100, 25, 500);
      service = new CallService(settings, this, this, endpoints, random);
    }

    void pause(long durationMillis) {
      pausedUntilMillis = Math.max(pausedUntilMillis, nowMillis + durationMillis);
    }

    void crash() {
      crashed = true;
    }

    @Override
    public void execute(Runnable step) {
      schedule(0, step);
    }

    @Override
    public Runnable schedule(long delayMillis, Runnable step) {
      boolean[] cancelled = {false};
      scheduleAfter(
          delayMillis,
          () ->
              runUnpaused(
                  () -> {
                    if (!cancelled[0]) {
                      step.run();
                    }
                  }));
      return () -> cancelled[0] = true;
    }

    private void runUnpaused(Runnable step) {
      if (crashed) {
        return;
      }
      if (nowMillis < pausedUntilMillis) {
        scheduleAfter(pausedUntilMillis - nowMillis, () -> runUnpaused(step));
      } else {
        step.run();
      }
    }

    @Override
    public long nowMillis() {
      return nowMillis;
    }

    @Override
    public CompletableFuture<ReadBack> append(RequestRecord record) {
      CompletableFuture<ReadBack> readBack = new CompletableFuture<>();
      if (chance(0.1)) {
        execute(() -> fail(readBack, false));
        return readBack;
      }
      boolean answerLost = chance(0.1);
      scheduleAfter(
          random.nextLong(chance(0.1) ? 3_000 : 30),
          () -> {
            stream.add(record);
            long offset = stream.size() - 1;
            if (!answerLost) {
              schedule(random.nextLong(chance(0.1) ? 3_000 : 30), () -> readBack(offset, readBack));
            }
          });
      if (answerLost) {
        schedule(random.nextLong(3_000), () -> fail(readBack, true));
      }
      return readBack;
    }

    private void fail(CompletableFuture<ReadBack> readBack, boolean mayTakeEffect) {
      readBack.completeExceptionally(new RequestAppendException(mayTakeEffect, "lost", null));
    }

    private void readBack(long offset, CompletableFuture<ReadBack> readBack) {
      for (long next = ledger.appliedOffset() + 1; next <= offset; next++) {
        ledger.expire(nowMillis);
        verdicts.put(next, ledger.apply(next, stream.get((int) next), nowMillis));
      }
      readBack.complete(
          new ReadBack(
              offset, verdicts.get(offset), ledger.call(requestId(stream.get((int) offset)))));
    }

    private String requestId(RequestRecord record) {
      return switch (record) {
        case CallClaimed claimed -> claimed.requestId();
        case CallFinished finished -> finished.requestId();
        default -> "";
      };
    }

    @Override
    public Optional<CallEntry> recordedCall(String requestId) {
      return ledger.call(requestId);
    }
  }
}
