package org.cicadaford.entry.call;

/**
 * A caller's call of a service.
 *
 * @param requestId UUID version 7; the idempotency key of a call that is not repeatable
 * @param createdAtMillis creation time that the id carries
 * @param team team whose key was presented
 * @param service name of the service
 * @param contentType media type of the body
 * @param body bytes of the call
 * @param deadlineAtMillis time at which the caller no longer awaits the answer
 * @param repeatable whether the call may be run more than once
 */
public record CallRequest(
    String requestId,
    long createdAtMillis,
    String team,
    String service,
    String contentType,
    byte[] body,
    long deadlineAtMillis,
    boolean repeatable) {}
