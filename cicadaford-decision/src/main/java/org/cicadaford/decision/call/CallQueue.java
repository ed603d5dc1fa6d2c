package org.cicadaford.decision.call;

import java.util.LinkedHashSet;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Holds the calls of one service that wait for a slot, in a bounded queue.
 *
 * <p>Refuses a call at once if the queue is full or if, at the measured rate, the call would not
 * get a slot before its deadline. Not thread-safe.
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

  /**
   * Returns the retry delay if a call with this deadline must be refused, or empty if it may wait.
   */
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

  /** Removes a call and returns whether it was in the queue. */
  public boolean remove(T call) {
    return calls.remove(call);
  }

  /** Returns the call that has waited the longest; the queue must not be empty. */
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
