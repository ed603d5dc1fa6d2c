package org.cicadaford.entry;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Counts the requests in progress and refuses more than are allowed, or all while stopping. */
public final class RequestLimiter {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final int maxInProgress;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition idle = lock.newCondition();
  private int inProgress;
  private boolean closed;

  /** Creates a gate that lets {@code maxInProgress} requests be in progress. */
  public RequestLimiter(int maxInProgress) {
    this.maxInProgress = maxInProgress;
  }

  /**
   * Counts a request in; the caller counts it out with {@link #release()}.
   *
   * @throws RefusedException if this instance stops or has too many requests
   */
  public void acquire() throws RefusedException {
    lock.lock();
    try {
      if (closed) {
        throw new RefusedException(
            Refusal.retryable(
                RefusalKind.STOPPING,
                "this instance is stopping; send the request to another instance",
                RETRY_AFTER_MILLIS));
      }
      if (inProgress >= maxInProgress) {
        throw new RefusedException(
            Refusal.retryable(
                RefusalKind.OVERLOADED,
                maxInProgress + " requests are in progress here; repeat the request later",
                RETRY_AFTER_MILLIS));
      }
      inProgress++;
    } finally {
      lock.unlock();
    }
  }

  /** Counts a request out. */
  public void release() {
    lock.lock();
    try {
      inProgress--;
      idle.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /** Refuses all further requests. */
  public void close() {
    lock.lock();
    try {
      closed = true;
    } finally {
      lock.unlock();
    }
  }

  /** Returns whether requests are refused because this instance stops. */
  public boolean isClosed() {
    lock.lock();
    try {
      return closed;
    } finally {
      lock.unlock();
    }
  }

  /** Returns the number of requests in progress. */
  public int inProgressCount() {
    lock.lock();
    try {
      return inProgress;
    } finally {
      lock.unlock();
    }
  }

  /** Waits until no request is in progress, and returns whether that came about in time. */
  public boolean awaitIdle(long timeoutMillis) throws InterruptedException {
    long leftNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    lock.lock();
    try {
      while (inProgress > 0 && leftNanos > 0) {
        leftNanos = idle.awaitNanos(leftNanos);
      }
      return inProgress == 0;
    } finally {
      lock.unlock();
    }
  }
}
