package org.cicadaford.entry.zone;

import java.util.function.Consumer;
import org.cicadaford.decision.AddressedCommand;
import org.cicadaford.decision.LeaseHandover;
import org.cicadaford.decision.ZoneState;
import org.cicadaford.entry.stream.StreamPosition;
import org.cicadaford.model.WorkerAnswer;
import org.cicadaford.model.ZoneRecord;

/** An event for the zone owner's thread. */
sealed interface ZoneEvent {

  /** A record of the zone's stream was read. */
  record RecordRead(long offset, ZoneRecord record, long readAtMillis) implements ZoneEvent {}

  /** A page of the zone's stream was read. */
  record PageRead(StreamPosition position) implements ZoneEvent {}

  /** Records of the zone's stream expired before they were read. */
  record RecordsExpired() implements ZoneEvent {}

  /** A worker answered a command. */
  record WorkerAnswered(AddressedCommand order, WorkerAnswer answer, long sentAtMillis)
      implements ZoneEvent {}

  /** A worker did not answer a command. */
  record WorkerUnreachable(String workerId) implements ZoneEvent {}

  /** Another thread reads from the zone's state. */
  record Query(Consumer<ZoneState> reader) implements ZoneEvent {}

  /** A peer reported that it owns the zone in {@code epoch}. */
  record PeerHeartbeat(long epoch, long receivedAtMillis) implements ZoneEvent {}

  /** A former owner reported the last leases that it granted. */
  record PeerHandOver(LeaseHandover handOver, long receivedAtMillis) implements ZoneEvent {}

  /** This instance must give up ownership and never claim it again. */
  record Stop() implements ZoneEvent {}
}
