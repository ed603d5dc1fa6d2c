package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reserves workers for gangs that do not fit, against steps of less urgent queues.
 *
 * <p>Without reservations, smaller tasks take free capacity as soon as it appears, and a gang that
 * needs several workers at once starves. A gang that cannot start, or not for long, would starve
 * the less urgent work in turn. A reservation that has not led to a start within a bounded time is
 * therefore suspended for a while.
 */
final class GangReservations {

  /** Reserved capacity for a waiting gang, as a multiple of its demand. */
  private static final int RESERVATION_FACTOR = 2;

  /** Maximum share of the workers that is reserved. */
  private static final double MAX_RESERVED_SHARE = 0.5;

  /**
   * Maximum duration of a reservation while less than half of the service is in use, in
   * milliseconds. The platform expects work that fits to start within 3 s then.
   */
  static final long MAX_IDLE_MILLIS = 2_000;

  /** Maximum duration of a reservation while the service is busy, in milliseconds. */
  static final long MAX_BUSY_MILLIS = 10_000;

  /**
   * Time for which a worker is not reserved after that, in milliseconds. Advice on it may have to
   * be requested first, which takes up to 0.8 s.
   */
  static final long SUSPENSION_MILLIS = 1_500;

  /**
   * A waiting gang.
   *
   * @param workers workers that may run it, in the order in which they are to be reserved
   * @param serviceBusy whether at least half of its service is in use
   */
  record WaitingGang(StepRun step, List<Worker> workers, boolean serviceBusy) {}

  /** A gang whose reservations have ended without a start, and the number of workers. */
  record Suspension(WaitingGang gang, int workerCount) {}

  private record Reservation(WaitingGang gang, long sinceMillis) {
    int priority() {
      return gang.step().job().queue().priority();
    }

    boolean expired(long nowMillis) {
      long maxMillis = gang.serviceBusy() ? MAX_BUSY_MILLIS : MAX_IDLE_MILLIS;
      return nowMillis - sinceMillis >= maxMillis;
    }
  }

  private Map<Worker, Reservation> byWorker = new HashMap<>();
  private final Map<Worker, Long> suspendedUntilMillis = new HashMap<>();
  private final List<Suspension> suspensions = new ArrayList<>();

  /** Returns whether a worker is reserved against steps of queues with {@code priority}. */
  boolean reservedAgainst(Worker worker, int priority) {
    Reservation reservation = byWorker.get(worker);
    return reservation != null && priority > reservation.priority();
  }

  /**
   * Replaces all reservations.
   *
   * @param gangs waiting gangs in scheduling order
   * @param workerCount number of schedulable workers
   * @return workers that are no longer reserved, or reserved for a less urgent queue than before
   */
  List<Worker> reserve(List<WaitingGang> gangs, int workerCount, long nowMillis) {
    Map<Worker, Reservation> before = byWorker;
    suspendedUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
    byWorker = new HashMap<>();
    gangs.forEach(gang -> reserveFor(gang, workerCount, nowMillis));
    continueDurations(before, gangs);
    suspendExpired(nowMillis);
    List<Worker> released = new ArrayList<>();
    before.forEach(
        (worker, reservation) -> {
          if (!reservedAgainst(worker, reservation.priority() + 1)) {
            released.add(worker);
          }
        });
    return released;
  }

  private void reserveFor(WaitingGang gang, int workerCount, long nowMillis) {
    int missing = RESERVATION_FACTOR * gang.step().tasks().size();
    for (Worker worker : gang.workers()) {
      boolean full = byWorker.size() >= workerCount * MAX_RESERVED_SHARE;
      if (missing <= 0 || full) {
        return;
      }
      if (!byWorker.containsKey(worker) && !suspendedUntilMillis.containsKey(worker)) {
        byWorker.put(worker, new Reservation(gang, nowMillis));
        missing -= slotsOn(gang.step(), worker);
      }
    }
  }

  private static int slotsOn(StepRun step, Worker worker) {
    return Math.max(1, step.spec().slotsIn(worker.listing().capacity()));
  }

  /**
   * Counts the duration of a reservation from when its worker was first reserved, unless the gang
   * that it was reserved for then has started. A worker that is reserved for one gang after the
   * other is thus suspended as well.
   */
  private void continueDurations(Map<Worker, Reservation> before, List<WaitingGang> gangs) {
    Set<StepRun> waiting = new HashSet<>();
    gangs.forEach(gang -> waiting.add(gang.step()));
    byWorker.replaceAll(
        (worker, reservation) -> {
          Reservation earlier = before.get(worker);
          return earlier != null && waiting.contains(earlier.gang().step())
              ? new Reservation(reservation.gang(), earlier.sinceMillis())
              : reservation;
        });
  }

  /**
   * Suspends the reservations of each gang of which one has expired. All of them end at once, so
   * that another gang can use the workers meanwhile.
   */
  private void suspendExpired(long nowMillis) {
    Set<WaitingGang> expired = new LinkedHashSet<>();
    for (Reservation reservation : byWorker.values()) {
      if (reservation.expired(nowMillis)) {
        expired.add(reservation.gang());
      }
    }
    for (WaitingGang gang : expired) {
      List<Worker> workers = new ArrayList<>();
      byWorker.forEach(
          (worker, reservation) -> {
            if (reservation.gang() == gang) {
              workers.add(worker);
            }
          });
      byWorker.keySet().removeAll(workers);
      workers.forEach(worker -> suspendedUntilMillis.put(worker, nowMillis + SUSPENSION_MILLIS));
      suspensions.add(new Suspension(gang, workers.size()));
    }
  }

  /** Returns and clears the suspensions since the last call. */
  List<Suspension> takeSuspensions() {
    List<Suspension> taken = List.copyOf(suspensions);
    suspensions.clear();
    return taken;
  }
}
