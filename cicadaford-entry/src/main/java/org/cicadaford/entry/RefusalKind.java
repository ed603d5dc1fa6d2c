package org.cicadaford.entry;

import java.util.Locale;

/** Lists the kinds of refusals with their HTTP status. */
public enum RefusalKind {
  /** The request cannot be parsed. */
  MALFORMED_REQUEST(400, "The request cannot be read"),
  /** The body is larger than this daemon accepts. */
  BODY_TOO_LARGE(413, "The body is too large"),
  /** The request needs a team key and has none. */
  KEY_MISSING(401, "A team key is missing"),
  /** The key was never granted, or was withdrawn. */
  UNKNOWN_KEY(401, "The team key is not known"),
  /** The key belongs to another team. */
  WRONG_TEAM(403, "The team key belongs to another team"),
  /** No description of this name is published. */
  UNKNOWN_DESCRIPTION(404, "The description is not published"),
  /** No service of this name is published. */
  UNKNOWN_SERVICE(404, "The service is not published"),
  /** No job of this id is retained. */
  UNKNOWN_JOB(404, "The job is not known"),
  /** The route does not exist. */
  UNKNOWN_ROUTE(404, "The route does not exist"),
  /** The route exists, but not for this method. */
  WRONG_METHOD(405, "The route does not take this method"),
  /** The route does not accept the media type of the body. */
  WRONG_MEDIA_TYPE(415, "The media type is not accepted"),
  /** The queue is not published. */
  UNKNOWN_QUEUE(422, "The queue is not published"),
  /** The team is not published. */
  UNKNOWN_TEAM(422, "The team is not published"),
  /** No worker of the allowed zones can run the job. */
  IMPOSSIBLE_SIZE(422, "No instance can run the job"),
  /** The request id belongs to another request. */
  REQUEST_ID_REUSED(409, "The request id was used before"),
  /** The request id is older than the retained window. */
  REQUEST_ID_EXPIRED(409, "The request id is too old"),
  /** All allowed zones are out of service. */
  NO_ZONE(503, "No allowed zone is in service"),
  /** No endpoint of the service can take calls. */
  NO_ENDPOINT(503, "No endpoint takes calls now"),
  /** The endpoints refused the call or did not answer it. */
  ENDPOINT_FAILED(502, "The endpoint did not answer"),
  /** The caller's deadline passed. */
  DEADLINE_PASSED(504, "The deadline passed"),
  /** The configuration was not confirmed recently, so keys cannot be checked. */
  CONFIG_NOT_CONFIRMED(503, "Team keys cannot be checked now"),
  /** The log does not accept appends. */
  LOG_UNAVAILABLE(503, "The log does not take records now"),
  /** Too many requests are queued or in progress. */
  OVERLOADED(503, "Too many requests wait"),
  /** This instance is stopping. */
  STOPPING(503, "This instance is stopping"),
  /** The outcome is not known yet. */
  OUTCOME_UNKNOWN(504, "The outcome is not known yet"),
  /** An internal error of the scheduler. */
  INTERNAL_FAULT(500, "A fault in the scheduler");

  private final int status;
  private final String title;

  RefusalKind(int status, String title) {
    this.status = status;
    this.title = title;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns a short human-readable summary. */
  public String title() {
    return title;
  }

  /** Returns the name used in answers and metrics. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
