package org.cicadaford.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/**
 * Reads the processor time of the current thread, which excludes other load on the machine and
 * garbage collection.
 */
final class ThreadCpuClock {

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private ThreadCpuClock() {}

  /** Returns the processor time that the current thread has used, in nanoseconds. */
  static long nanos() {
    return THREADS.getCurrentThreadCpuTime();
  }
}
