package org.cicadaford.entry.job;

import org.cicadaford.model.JobDescription;

/**
 * Holds a request to run a job.
 *
 * @param requestId validated request id
 * @param key team key of the request, or null
 * @param publishedName name of a published description, or null
 * @param description inline description, or null
 */
public record JobRequest(
    String requestId, String key, String publishedName, JobDescription description) {}
