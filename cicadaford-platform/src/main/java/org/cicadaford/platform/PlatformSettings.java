package org.cicadaford.platform;

/**
 * Addresses and limits of the clients of the platform.
 *
 * @param logHost IP address of the log, which also serves the membership list
 * @param logPort TCP port of the log
 * @param connectTimeoutMillis time in which a connection must be made
 * @param requestTimeoutMillis time in which the log, the list or a worker must answer; the waiting
 *     time of a read is added to it
 * @param maxRecordBytes largest record that is appended
 * @param maxAnswerBytes largest answer that is accepted
 * @param maxConnectionsPerHost largest number of open connections to one address
 */
public record PlatformSettings(
    String logHost,
    int logPort,
    long connectTimeoutMillis,
    long requestTimeoutMillis,
    int maxRecordBytes,
    int maxAnswerBytes,
    int maxConnectionsPerHost) {

  /** Returns the settings of the design for a log at this address. */
  public static PlatformSettings forLog(String logHost, int logPort) {
    return new PlatformSettings(logHost, logPort, 500, 1_500, 1 << 20, 4 << 20, 16);
  }
}
