package org.cicadaford.coordinator;

import java.util.Optional;
import org.cicadaford.cell.CellConfig;
import org.cicadaford.cell.Queue;
import org.cicadaford.cell.TeamShare;

/** Decides whether a caller's request may go on to the cell coordinator. */
public final class RequestAuthorizer {

  /**
   * Time after which a caller may try again while there is no fresh configuration here. Other
   * instances usually have one, and a new attempt reaches another instance.
   */
  private static final long RETRY_AFTER_MILLIS = 0;

  /** What becomes of a request at the gate. */
  public sealed interface Decision {

    /**
     * The request may go on.
     *
     * @param queue queue that it is for
     * @param team team that it counts for, or an empty string on an open queue
     * @param pathSuffix path behind the queue's prefix
     */
    record Admitted(Queue queue, String team, String pathSuffix) implements Decision {}

    /** No queue has this host and path. */
    record NoSuchQueue() implements Decision {}

    /** The key is missing or not known. */
    record UnknownKey() implements Decision {}

    /** The request cannot be served here now; it has not been done. */
    record Unavailable(String reason, long retryAfterMillis) implements Decision {}
  }

  private final CellNode node;

  /** Creates the gate of an instance. */
  public RequestAuthorizer(CellNode node) {
    this.node = node;
  }

  /** Decides on a request. */
  public Decision decide(String host, String path, Optional<String> key) {
    if (!node.config().known()) {
      return new Decision.Unavailable("no configuration has been read yet", RETRY_AFTER_MILLIS);
    }
    CellConfig config = node.config().published().config();
    Optional<Queue> queue = config.queueFor(host, path);
    if (queue.isEmpty()) {
      return new Decision.NoSuchQueue();
    }
    String rest = path.substring(queue.get().pathPrefix().length());
    if (queue.get().open()) {
      return new Decision.Admitted(queue.get(), "", rest);
    }
    if (!node.keysFresh()) {
      return new Decision.Unavailable(
          "keys cannot be checked, the configuration is not confirmed", RETRY_AFTER_MILLIS);
    }
    Optional<TeamShare> team = key.flatMap(config::teamOfKey);
    if (team.isEmpty()) {
      return new Decision.UnknownKey();
    }
    return new Decision.Admitted(queue.get(), team.get().name(), rest);
  }
}
