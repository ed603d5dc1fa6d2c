package org.cicadaford.entry.job;

import java.util.List;
import java.util.Map;

/**
 * States that a job was accepted and recorded.
 *
 * @param jobId id to ask for the job with
 * @param requestId id of the request; the same request gets the same receipt
 * @param taskIndexesByZone which tasks each availability zone is to run
 */
public record JobReceipt(
    String jobId, String requestId, Map<String, List<Integer>> taskIndexesByZone) {}
