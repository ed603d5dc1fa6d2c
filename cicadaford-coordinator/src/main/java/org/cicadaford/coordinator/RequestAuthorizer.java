package org.cicadaford.coordinator;

import java.util.Optional;
import org.cicadaford.cell.CellConfig;
import org.cicadaford.cell.Queue;
import org.cicadaford.cell.TeamShare;

/** Decides whether a caller's request may be sent to the cell coordinator. */
public final class RequestAuthorizer {

  /**
   * Time after which a caller may retry while this instance has no recent configuration, in
   * milliseconds. A retry reaches another instance, which usually has one.
   */
  private static final long RETRY_AFTER_MILLIS = 0;

  /** Holds the result of authorizing a request. */
  public sealed interface Decision {

    /**
     * Admits the request.
     *
     * @param queue queue of the request
     * @param team team of the caller, or an empty string on an open queue
     * @param pathSuffix path after the queue's prefix
     */
    record Admitted(Queue queue, String team, String pathSuffix) implements Decision {}

    /** Reports that no queue matches the host and path. */
    record NoSuchQueue() implements Decision {}

    /** Reports that the key is missing or unknown. */
    record UnknownKey() implements Decision {}

    /** Reports that this instance cannot serve the request now; it was not executed. */
    record Unavailable(String reason, long retryAfterMillis) implements Decision {}
  }

  private final CellNode node;

  /** Creates the authorizer of an instance. */
  public RequestAuthorizer(CellNode node) {
    this.node = node;
  }

  /** Authorizes a request. */
  public Decision decide(String host, String path, Optional<String> key) {
    if (!node.config().isLoaded()) {
      return new Decision.Unavailable("no configuration has been read yet", RETRY_AFTER_MILLIS);
    }
    CellConfig config = node.config().published().config();
    Optional<Queue> queue = config.queueFor(host, path);
    if (queue.isEmpty()) {
      return new Decision.NoSuchQueue();
    }
    String pathSuffix = path.substring(queue.get().pathPrefix().length());
    if (queue.get().open()) {
      return new Decision.Admitted(queue.get(), "", pathSuffix);
    }
    if (!node.areKeysVerifiable()) {
      return new Decision.Unavailable(
          "cannot verify keys, the configuration is not confirmed", RETRY_AFTER_MILLIS);
    }
    Optional<TeamShare> team = key.flatMap(config::teamOfKey);
    if (team.isEmpty()) {
      return new Decision.UnknownKey();
    }
    return new Decision.Admitted(queue.get(), team.get().name(), pathSuffix);
  }
}
