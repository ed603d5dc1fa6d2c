package org.cicadaford.decision.call;

/**
 * An endpoint as the platform's list shows it.
 *
 * @param endpointId instance
 * @param zone availability zone that it is in
 * @param leaving whether it is about to leave
 */
public record ListedEndpoint(String endpointId, String zone, boolean leaving) {}
