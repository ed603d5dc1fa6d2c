package org.cicadaford.entry.call;

/**
 * Holds a call to a service.
 *
 * @param requestId UUID version 7; the idempotency key of a call that is not repeatable
 * @param createdAtMillis creation time encoded in the id
 * @param team team of the caller
 * @param service name of the service
 * @param contentType media type of the body
 * @param body body of the call
 * @param deadlineAtMillis time after which the caller no longer waits for the answer
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
