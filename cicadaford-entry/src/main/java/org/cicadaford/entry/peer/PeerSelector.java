package org.cicadaford.entry.peer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cicadaford.platform.Member;

/** Selects the peers that a daemon maintains a link to. */
final class PeerSelector {

  /**
   * Number of links to each other zone. Two tolerate one failed peer, and the number of links grows
   * with the number of zones, not of daemons.
   */
  static final int LINKS_PER_OTHER_ZONE = 2;

  private PeerSelector() {}

  /** Returns all peers of the own zone and a few of each other zone. */
  static List<Member> select(List<Member> members, String ownInstanceId, String ownZone) {
    Map<String, List<Member>> byZone =
        members.stream()
            .filter(member -> member.role() == Member.Role.ENTRY && member.peerPort() > 0)
            .filter(member -> !member.instanceId().equals(ownInstanceId))
            .collect(Collectors.groupingBy(Member::zone, TreeMap::new, Collectors.toList()));
    List<Member> selected = new ArrayList<>();
    byZone.forEach(
        (zone, peers) -> {
          int limit = zone.equals(ownZone) ? peers.size() : LINKS_PER_OTHER_ZONE;
          peers.stream()
              .sorted(Comparator.comparingInt(peer -> orderKey(ownInstanceId, peer)))
              .limit(limit)
              .forEach(selected::add);
        });
    return selected;
  }

  /** Orders peers differently for each daemon, so that the links are spread over the peers. */
  private static int orderKey(String ownInstanceId, Member peer) {
    return (ownInstanceId + '|' + peer.instanceId()).hashCode();
  }
}
