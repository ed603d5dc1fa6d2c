package org.cicadaford.entry.peer;

import java.util.concurrent.CompletableFuture;
import org.cicadaford.wire.PeerMessage.ConfigRecordsAnswer;
import org.cicadaford.wire.PeerMessage.HandOver;
import org.cicadaford.wire.PeerMessage.Heartbeat;

/**
 * What this daemon tells its peers and takes from them. Called on network threads; never blocks.
 */
public interface PeerMessageHandler {

  /** Returns what this daemon states in its heartbeats. */
  Heartbeat heartbeat();

  /** Takes in what a peer states in its heartbeat. */
  void onHeartbeat(Heartbeat heartbeat);

  /** Returns configuration records from {@code fromOffset} on, or a snapshot if they are gone. */
  ConfigRecordsAnswer readConfigRecords(long fromOffset);

  /** Takes configuration records that a peer has read from the log. */
  void applyConfigRecords(ConfigRecordsAnswer records);

  /**
   * Takes in that the log had no configuration record newer than {@code version} at {@code
   * confirmedAtMillis} of this daemon's clock, drift allowed for.
   */
  void onConfigConfirmed(long version, long confirmedAtMillis);

  /** Takes in the last leases that a previous owner of this daemon's zone granted. */
  void onHandOver(HandOver handOver);

  /** Returns the state of a job in this zone as MessagePack; empty if the zone does not know it. */
  CompletableFuture<byte[]> jobStatus(String jobId);
}
