package org.cicadaford.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/**
 * Reads the processor time of the current thread, so that other load on the machine does not count
 * as time of a decision. Collections of garbage do not count either.
 */
final class CpuClock {

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private CpuClock() {}

  /** Returns the processor time that the current thread has used, in nanoseconds. */
  static long nanos() {
    return THREADS.getCurrentThreadCpuTime();
  }
}
