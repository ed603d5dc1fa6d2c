package org.cicadaford.entry;

import org.cicadaford.platform.EndpointService;
import org.cicadaford.platform.LogService;
import org.cicadaford.platform.MembershipService;
import org.cicadaford.platform.WorkerService;

/**
 * What the entry library needs of the platform.
 *
 * @param log the log
 * @param membership list of instances
 * @param workers commands to workers
 * @param endpoints calls to endpoints
 */
public record PlatformServices(
    LogService log,
    MembershipService membership,
    WorkerService workers,
    EndpointService endpoints) {}
