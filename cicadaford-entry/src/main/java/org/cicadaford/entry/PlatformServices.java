package org.cicadaford.entry;

import org.cicadaford.platform.EndpointService;
import org.cicadaford.platform.LogService;
import org.cicadaford.platform.MembershipService;
import org.cicadaford.platform.WorkerService;

/**
 * Holds the platform services that an entry instance depends on.
 *
 * @param log append-only log of the cell
 * @param membership membership list
 * @param workers commands to workers
 * @param endpoints calls to endpoints
 */
public record PlatformServices(
    LogService log,
    MembershipService membership,
    WorkerService workers,
    EndpointService endpoints) {}
