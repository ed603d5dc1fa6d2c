package org.cicadaford.coordinator;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.cicadaford.cell.CellConfig;
import org.cicadaford.cell.Queue;
import org.cicadaford.cell.TeamShare;

/** Decides whether a caller's request may be sent to the cell coordinator. */
public final class RequestAuthorizer {

  /**
   * Time after which a caller may retry while only this instance is cut off from the store, in
   * milliseconds. A retry reaches another instance.
   */
  private static final long RETRY_ELSEWHERE_MILLIS = 0;

  /**
   * Time after which a caller may retry while no instance can serve it, in milliseconds. Callers
   * retry a few times only; immediate retries would all be refused within the same outage.
   */
  private static final long RETRY_AFTER_OUTAGE_MILLIS = 1_000;

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

  private final ConfigHolder config;
  private final BooleanSupplier keysVerifiable;
  private final BooleanSupplier coordinatorHealthy;

  /**
   * Creates the authorizer of an instance.
   *
   * @param keysVerifiable returns whether the configuration was confirmed recently
   * @param coordinatorHealthy returns whether a coordinator that can store is known
   */
  public RequestAuthorizer(
      ConfigHolder config, BooleanSupplier keysVerifiable, BooleanSupplier coordinatorHealthy) {
    this.config = config;
    this.keysVerifiable = keysVerifiable;
    this.coordinatorHealthy = coordinatorHealthy;
  }

  /** Authorizes a request. */
  public Decision decide(String host, String path, Optional<String> key) {
    if (!config.isLoaded()) {
      return unavailable("no configuration has been read yet");
    }
    CellConfig current = config.published().config();
    Optional<Queue> queue = current.queueFor(host, path);
    if (queue.isEmpty()) {
      return new Decision.NoSuchQueue();
    }
    String pathSuffix = path.substring(queue.get().pathPrefix().length());
    if (queue.get().open()) {
      return new Decision.Admitted(queue.get(), "", pathSuffix);
    }
    if (!keysVerifiable.getAsBoolean()) {
      return unavailable("cannot verify keys, the configuration is not confirmed");
    }
    Optional<TeamShare> team = key.flatMap(current::teamOfKey);
    if (team.isEmpty()) {
      return new Decision.UnknownKey();
    }
    return new Decision.Admitted(queue.get(), team.get().name(), pathSuffix);
  }

  private Decision unavailable(String reason) {
    boolean servedElsewhere = coordinatorHealthy.getAsBoolean();
    return new Decision.Unavailable(
        reason, servedElsewhere ? RETRY_ELSEWHERE_MILLIS : RETRY_AFTER_OUTAGE_MILLIS);
  }
}
