package org.cicadaford.cell;

/**
 * A queue that accepts jobs.
 *
 * @param name name of the queue
 * @param host host name under which callers reach it
 * @param pathPrefix prefix of its paths
 * @param service service whose workers run its tasks
 * @param priority urgency; 0 is the most urgent
 * @param maxAttempts number of failed runs of a task after which its job fails
 * @param stretch factor on the ideal duration in the objective
 * @param targetLatencyMillis constant part of the objective, in milliseconds
 * @param timeoutMillis timeout of a call, in milliseconds
 * @param open whether calls need no key
 * @param advice placement advice that its tasks require
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
