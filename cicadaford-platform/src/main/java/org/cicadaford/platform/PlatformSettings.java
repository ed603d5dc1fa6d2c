package org.cicadaford.platform;

/**
 * Holds the addresses, timeouts and size limits of the platform clients.
 *
 * @param logHost IP address of the log, which also serves the membership list
 * @param logPort TCP port of the log
 * @param connectTimeoutMillis timeout for establishing a connection
 * @param requestTimeoutMillis timeout for an answer of the log, the membership list or a worker; a
 *     log read adds its own wait time
 * @param maxRecordBytes maximum size of an appended record or of the body of an endpoint call
 * @param maxAnswerBytes maximum size of an accepted response
 * @param maxConnectionsPerHost maximum number of open connections per address
 */
public record PlatformSettings(
    String logHost,
    int logPort,
    long connectTimeoutMillis,
    long requestTimeoutMillis,
    int maxRecordBytes,
    int maxAnswerBytes,
    int maxConnectionsPerHost) {

  /** Returns the default settings for a log at this address. */
  public static PlatformSettings forLog(String logHost, int logPort) {
    return new PlatformSettings(logHost, logPort, 500, 1_500, 1 << 20, 4 << 20, 16);
  }
}
