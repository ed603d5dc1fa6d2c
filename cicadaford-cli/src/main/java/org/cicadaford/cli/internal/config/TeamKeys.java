package org.cicadaford.cli.internal.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;

/** Generates and hashes the API keys of teams. */
public final class TeamKeys {

  private static final int KEY_BYTES = 32;

  private TeamKeys() {}

  /** Returns a new key of 256 random bits in URL-safe Base64, for use in an HTTP header. */
  public static String generate(SecureRandom random) {
    byte[] bytes = new byte[KEY_BYTES];
    random.nextBytes(bytes);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }

  /** Returns the SHA-256 of a key in lower-case hexadecimal. */
  public static String hash(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
