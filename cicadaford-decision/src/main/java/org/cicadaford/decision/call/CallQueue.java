package org.cicadaford.decision.call;

import java.util.LinkedHashSet;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Bounded queue of the calls of one service that wait for a slot.
 *
 * <p>Refuses a call early, when the queue is full or when the measured rate says that the call
 * would not get a slot before its deadline. Not safe for use by several threads.
 *
 * @param <T> type of the calls
 */
public final class CallQueue<T> {

  private final int maxCount;
  private final ServiceRateMeter rate;
  private final Set<T> calls = new LinkedHashSet<>();

  /** Creates an empty queue of at most {@code maxCount} calls. */
  public CallQueue(int maxCount, ServiceRateMeter rate) {
    this.maxCount = maxCount;
    this.rate = rate;
  }

  /** Returns the time after which to try again if a call with this deadline is to be refused. */
  public OptionalLong retryAfterIfRefused(long deadlineAtMillis, long nowMillis) {
    if (calls.isEmpty()) {
      return OptionalLong.empty();
    }
    long waitMillis = rate.estimatedWaitMillis(calls.size() + 1);
    boolean tooLate = rate.isMeasured() && nowMillis + waitMillis >= deadlineAtMillis;
    return calls.size() >= maxCount || tooLate ? OptionalLong.of(waitMillis) : OptionalLong.empty();
  }

  /** Adds a call at the end. */
  public void add(T call) {
    calls.add(call);
  }

  /** Removes a call and returns whether it waited. */
  public boolean remove(T call) {
    return calls.remove(call);
  }

  /** Returns the call that has waited longest; the queue must not be empty. */
  public T first() {
    return calls.iterator().next();
  }

  /** Returns whether no call waits. */
  public boolean isEmpty() {
    return calls.isEmpty();
  }

  /** Returns the number of calls that wait. */
  public int size() {
    return calls.size();
  }
}
