package org.cicadaford.entry;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Limits the number of concurrent requests, and refuses all new ones while stopping. */
public final class RequestLimiter {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final int maxInProgress;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition idle = lock.newCondition();
  private int inProgress;
  private boolean closed;

  /** Creates a limiter that admits {@code maxInProgress} concurrent requests. */
  public RequestLimiter(int maxInProgress) {
    this.maxInProgress = maxInProgress;
  }

  /**
   * Admits a request; the caller must call {@link #release()} when it has ended.
   *
   * @throws RefusedException if this instance is stopping or the limit is reached
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
                maxInProgress + " requests are in progress on this instance; retry later",
                RETRY_AFTER_MILLIS));
      }
      inProgress++;
    } finally {
      lock.unlock();
    }
  }

  /** Ends an admitted request. */
  public void release() {
    lock.lock();
    try {
      inProgress--;
      idle.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /** Refuses all new requests from now on. */
  public void close() {
    lock.lock();
    try {
      closed = true;
    } finally {
      lock.unlock();
    }
  }

  /** Returns whether new requests are refused because this instance is stopping. */
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

  /** Waits until no request is in progress, and returns whether that happened in time. */
  public boolean awaitIdle(long timeoutMillis) throws InterruptedException {
    long remainingNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    lock.lock();
    try {
      while (inProgress > 0 && remainingNanos > 0) {
        remainingNanos = idle.awaitNanos(remainingNanos);
      }
      return inProgress == 0;
    } finally {
      lock.unlock();
    }
  }
}
