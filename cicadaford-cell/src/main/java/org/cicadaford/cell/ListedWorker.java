package org.cicadaford.cell;

import java.util.Set;
import org.cicadaford.model.Resources;

/**
 * A worker as the platform's list states it.
 *
 * @param id id of the worker
 * @param incarnation Unix time of its start in milliseconds; a worker may restart under its id
 * @param service service that it belongs to
 * @param address address of its interface, {@code ip:port}
 * @param zone availability zone
 * @param draining whether it is leaving
 * @param remainingMillis least time until it leaves, in milliseconds; 0 if it is not stated
 * @param capacity what it offers
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
