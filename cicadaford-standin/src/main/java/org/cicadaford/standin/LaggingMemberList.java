package org.cicadaford.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cicadaford.platform.Member;

/** Membership list that shows the announcements as they were some time ago. */
final class LaggingMemberList {

  private final long expiryMillis;
  private final Map<String, TreeMap<Long, Member>> announcements = new TreeMap<>();

  LaggingMemberList(long expiryMillis) {
    this.expiryMillis = expiryMillis;
  }

  synchronized void announce(Member member, long nowMillis) {
    announcements
        .computeIfAbsent(member.instanceId(), id -> new TreeMap<>())
        .put(nowMillis, member);
  }

  /** Returns the instances that had announced themselves {@code lagMillis} ago. */
  synchronized List<Member> list(long lagMillis, long nowMillis) {
    long shownAtMillis = nowMillis - lagMillis;
    List<Member> members = new ArrayList<>();
    for (TreeMap<Long, Member> history : announcements.values()) {
      Map.Entry<Long, Member> shown = history.floorEntry(shownAtMillis);
      if (shown != null && shown.getKey() >= shownAtMillis - expiryMillis) {
        members.add(shown.getValue());
      }
    }
    return members;
  }

  /** Forgets announcements that no list with up to {@code maxLagMillis} shows. */
  synchronized void forget(long maxLagMillis, long nowMillis) {
    long keptFromMillis = nowMillis - maxLagMillis - expiryMillis;
    announcements.values().forEach(history -> history.headMap(keptFromMillis).clear());
    announcements.values().removeIf(TreeMap::isEmpty);
  }
}
