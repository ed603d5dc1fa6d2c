package org.cicadaford.platform;

import java.util.List;

/**
 * Defines the paths, headers and bodies of the platform's HTTP interfaces; see {@code
 * docs/platform.md}.
 */
public final class PlatformRoutes {

  /** Path prefix of the log's streams, followed by the stream name. */
  public static final String STREAMS = "/streams/";

  /** Path of the membership list. */
  public static final String MEMBERS = "/members";

  /** Path to which workers receive commands. */
  public static final String COMMANDS = "/commands";

  /** Path to which endpoints receive calls. */
  public static final String CALL = "/call";

  /** Media type of bodies that hold MessagePack records. */
  public static final String MESSAGE_PACK = "application/msgpack";

  /** Header with the call's request id, in the request and in the response. */
  public static final String REQUEST_ID_HEADER = "Cicadaford-Request-Id";

  /** Header of a refusal, which states that no part of the call was executed. */
  public static final String NOT_STARTED_HEADER = "Cicadaford-Not-Started";

  /** Header with the time after which the client stops waiting for the answer. */
  public static final String TIMEOUT_HEADER = "Cicadaford-Timeout-Millis";

  private PlatformRoutes() {}

  /**
   * Body of the response to an append.
   *
   * @param offset offset of the appended record
   */
  public record Appended(long offset) {}

  /**
   * Body of the response to a read of records that are no longer retained.
   *
   * @param earliestOffset offset of the earliest record that the stream retains
   */
  public record Expired(long earliestOffset) {}

  /**
   * Body of the response to a read of the membership list.
   *
   * @param members all listed instances
   */
  public record MemberList(List<Member> members) {

    /** Makes an immutable copy of the members. */
    public MemberList {
      members = List.copyOf(members);
    }
  }
}
