package org.cicadaford.entry.zone;

import java.util.function.Consumer;
import org.cicadaford.decision.AddressedCommand;
import org.cicadaford.decision.LeaseHandover;
import org.cicadaford.decision.ZoneState;
import org.cicadaford.entry.stream.StreamPosition;
import org.cicadaford.model.WorkerAnswer;
import org.cicadaford.model.ZoneRecord;

/** Something that the zone owner's thread takes in. */
sealed interface ZoneEvent {

  /** A record of the zone's stream was read. */
  record RecordRead(long offset, ZoneRecord record, long readAtMillis) implements ZoneEvent {}

  /** A page of the zone's stream was read. */
  record PageRead(StreamPosition position) implements ZoneEvent {}

  /** Records of the zone's stream expired before they were read. */
  record GapRead() implements ZoneEvent {}

  /** A worker answered a command. */
  record Answered(AddressedCommand order, WorkerAnswer answer, long sentAtMillis)
      implements ZoneEvent {}

  /** A worker did not answer a command. */
  record Unreachable(String workerId) implements ZoneEvent {}

  /** Another thread asks for something in the zone's state. */
  record Query(Consumer<ZoneState> reader) implements ZoneEvent {}

  /** A peer told that it owns the zone in {@code epoch}. */
  record PeerHeartbeat(long epoch, long receivedAtMillis) implements ZoneEvent {}

  /** A peer that was owner told the last leases that it granted. */
  record PeerHandOver(LeaseHandover told, long receivedAtMillis) implements ZoneEvent {}

  /** This instance is to give up ownership and not to claim it again. */
  record Stop() implements ZoneEvent {}
}
