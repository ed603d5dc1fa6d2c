package org.cicadaford.platform;

import java.util.List;

/** Paths, headers and bodies of the platform's HTTP interfaces; see {@code docs/platform.md}. */
public final class PlatformRoutes {

  /** Path of the log's streams; the name of the stream follows. */
  public static final String STREAMS = "/streams/";

  /** Path of the membership list. */
  public static final String MEMBERS = "/members";

  /** Path of a worker's commands. */
  public static final String COMMANDS = "/commands";

  /** Path of an endpoint's calls. */
  public static final String CALL = "/call";

  /** Media type of bodies that hold records. */
  public static final String MESSAGE_PACK = "application/msgpack";

  /** Header that carries the id of a call, in the request and in the answer. */
  public static final String REQUEST_ID_HEADER = "Cicadaford-Request-Id";

  /** Header of a refusal that was made before anything of the call was run. */
  public static final String NOT_STARTED_HEADER = "Cicadaford-Not-Started";

  /** Header that tells the server after which time the answer is no longer awaited. */
  public static final String TIMEOUT_HEADER = "Cicadaford-Timeout-Millis";

  private PlatformRoutes() {}

  /**
   * Answers an append.
   *
   * @param offset offset of the record
   */
  public record Appended(long offset) {}

  /**
   * Answers a read of records that are no longer kept.
   *
   * @param earliestOffset offset of the first record that the stream still keeps
   */
  public record Expired(long earliestOffset) {}

  /**
   * Answers a read of the membership list.
   *
   * @param members all instances that the list shows
   */
  public record MemberList(List<Member> members) {

    /** Copies the list of members. */
    public MemberList {
      members = List.copyOf(members);
    }
  }
}
