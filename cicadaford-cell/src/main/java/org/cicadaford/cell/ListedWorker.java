package org.cicadaford.cell;

import java.util.Set;
import org.cicadaford.model.Resources;

/**
 * A worker as listed by the platform.
 *
 * @param id id of the worker
 * @param incarnation Unix time of its start in milliseconds; a worker may restart with the same id
 * @param service service that it belongs to
 * @param address address of its interface, {@code ip:port}
 * @param zone availability zone
 * @param draining whether it is shutting down
 * @param remainingMillis minimum time until its shutdown, in milliseconds; 0 if unknown
 * @param capacity resources of the worker
 * @param labels its labels
 * @param rack its rack
 */
public record ListedWorker(
    String id,
    long incarnation,
    String service,
    String address,
    String zone,
    boolean draining,
    long remainingMillis,
    Resources capacity,
    Set<String> labels,
    String rack) {}
