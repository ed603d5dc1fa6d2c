package org.cicadaford.entry.job;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.cicadaford.decision.ConfigState;
import org.cicadaford.entry.Refusal;
import org.cicadaford.entry.RefusalKind;
import org.cicadaford.entry.RefusedException;
import org.cicadaford.entry.config.ConfigView;
import org.cicadaford.model.QueuePolicy;

/** Verifies that a request carries a key of the team that it is charged to. */
public final class TeamKeyVerifier {

  /** Age of the last configuration confirmation beyond which all keys are refused. */
  public static final long MAX_CONFIG_AGE_MILLIS = 5_000;

  private static final long RETRY_AFTER_MILLIS = 2_000;

  private TeamKeyVerifier() {}

  /** Returns the SHA-256 hash of a key in hexadecimal. */
  public static String hash(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /** Returns whether the queue accepts requests without a key. */
  public static boolean isOpen(ConfigState config, String queue) {
    return config.queue(queue).map(QueuePolicy::openToAll).orElse(false);
  }

  /**
   * Verifies that {@code key} belongs to {@code team}, unless the queue is open to all.
   *
   * @param key key of the request; null or empty if it has none
   * @throws RefusedException if the key does not authorize the request
   */
  public static void check(ConfigView config, String queue, String team, String key, long nowMillis)
      throws RefusedException {
    if (isOpen(config.state(), queue)) {
      return;
    }
    String keyTeam = teamOf(config, key, nowMillis);
    if (!keyTeam.equals(team)) {
      throw new RefusedException(
          Refusal.notRun(
              RefusalKind.WRONG_TEAM,
              "the key belongs to another team than " + team + "; use a key of team " + team));
    }
  }

  /**
   * Returns the team that a key belongs to.
   *
   * @throws RefusedException if the key is missing, not granted, or cannot be checked now
   */
  public static String teamOf(ConfigView config, String key, long nowMillis)
      throws RefusedException {
    if (key == null || key.isEmpty()) {
      throw new RefusedException(
          Refusal.notRun(
              RefusalKind.KEY_MISSING,
              "send the team's key in the header Cicadaford-Key, or use a queue open to all"));
    }
    if (!config.isFresh(MAX_CONFIG_AGE_MILLIS, nowMillis)) {
      throw new RefusedException(
          Refusal.retryable(
              RefusalKind.CONFIG_NOT_CONFIRMED,
              "the configuration was not confirmed for "
                  + MAX_CONFIG_AGE_MILLIS / 1_000
                  + " s, so a withdrawn key could not be detected; retry later or use a"
                  + " queue open to all",
              RETRY_AFTER_MILLIS));
    }
    return config
        .state()
        .teamOfKeyHash(hash(key))
        .orElseThrow(
            () ->
                new RefusedException(
                    Refusal.notRun(
                        RefusalKind.UNKNOWN_KEY,
                        "the key is not granted or was withdrawn; ask an operator for a new key")));
  }
}
