package org.cicadaford.cell;

/**
 * A queue that takes jobs.
 *
 * @param name name of the queue
 * @param host host name under which callers reach it
 * @param pathPrefix beginning of its paths
 * @param service service whose workers run its tasks
 * @param priority urgency; 0 is the most urgent
 * @param maxAttempts number of failed runs of a task after which its job has failed
 * @param stretch factor on the ideal run time in the objective
 * @param targetLatencyMillis time added to the objective, in milliseconds
 * @param timeoutMillis time after which a call is given up, in milliseconds
 * @param open whether calls need no key
 * @param advice placement advice that its tasks need
 */
public record Queue(
    String name,
    String host,
    String pathPrefix,
    String service,
    int priority,
    int maxAttempts,
    double stretch,
    long targetLatencyMillis,
    long timeoutMillis,
    boolean open,
    AdvicePolicy advice) {}
