package org.cicadaford.decision.call;

/**
 * Describes an endpoint as the platform lists it.
 *
 * @param endpointId id of the endpoint
 * @param zone availability zone of the endpoint
 * @param leaving whether the endpoint is about to be removed
 */
public record ListedEndpoint(String endpointId, String zone, boolean leaving) {}
