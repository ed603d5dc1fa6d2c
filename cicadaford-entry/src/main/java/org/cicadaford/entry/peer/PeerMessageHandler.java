package org.cicadaford.entry.peer;

import java.util.concurrent.CompletableFuture;
import org.cicadaford.wire.PeerMessage.ConfigRecordsAnswer;
import org.cicadaford.wire.PeerMessage.HandOver;
import org.cicadaford.wire.PeerMessage.Heartbeat;

/**
 * Handles messages from peers and supplies the state of this daemon. Called on network threads, so
 * implementations must not block.
 */
public interface PeerMessageHandler {

  /** Returns the heartbeat to send. */
  Heartbeat heartbeat();

  /** Handles the heartbeat of a peer. */
  void onHeartbeat(Heartbeat heartbeat);

  /**
   * Returns configuration records from {@code fromOffset} on, or a snapshot if they are no longer
   * kept.
   */
  ConfigRecordsAnswer readConfigRecords(long fromOffset);

  /** Applies configuration records that a peer has read from the log. */
  void applyConfigRecords(ConfigRecordsAnswer records);

  /**
   * Handles a confirmation that the log had no configuration record newer than {@code version} at
   * {@code confirmedAtMillis}. The time is corrected for clock drift.
   */
  void onConfigConfirmed(long version, long confirmedAtMillis);

  /** Handles the last leases granted by a previous owner of this daemon's zone. */
  void onHandOver(HandOver handOver);

  /** Returns the state of a job in this zone in MessagePack; empty if the zone has no such job. */
  CompletableFuture<byte[]> jobStatus(String jobId);
}
