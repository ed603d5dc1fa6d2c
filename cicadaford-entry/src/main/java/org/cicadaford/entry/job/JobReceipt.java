package org.cicadaford.entry.job;

import java.util.List;
import java.util.Map;

/**
 * Confirms that a job was accepted and recorded.
 *
 * @param jobId id of the job
 * @param requestId id of the request; a duplicate request gets the same receipt
 * @param taskIndexesByZone task indexes assigned to each availability zone
 */
public record JobReceipt(
    String jobId, String requestId, Map<String, List<Integer>> taskIndexesByZone) {}
