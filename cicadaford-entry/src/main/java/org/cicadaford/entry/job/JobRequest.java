package org.cicadaford.entry.job;

import org.cicadaford.model.JobDescription;

/**
 * Asks to run a job.
 *
 * @param requestId checked id of the request
 * @param key team key that came with it, or null
 * @param publishedName name of a published description, or null
 * @param description the description itself, or null
 */
public record JobRequest(
    String requestId, String key, String publishedName, JobDescription description) {}
