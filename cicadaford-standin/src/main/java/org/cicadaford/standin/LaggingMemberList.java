package org.cicadaford.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cicadaford.platform.Member;

/** Simulates a membership list whose view lags behind the announcements. */
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

  /** Returns the members as they were {@code lagMillis} before {@code nowMillis}. */
  synchronized List<Member> list(long lagMillis, long nowMillis) {
    long viewAtMillis = nowMillis - lagMillis;
    List<Member> members = new ArrayList<>();
    for (TreeMap<Long, Member> history : announcements.values()) {
      Map.Entry<Long, Member> visible = history.floorEntry(viewAtMillis);
      if (visible != null && visible.getKey() >= viewAtMillis - expiryMillis) {
        members.add(visible.getValue());
      }
    }
    return members;
  }

  /** Removes announcements that are no longer visible with a lag of {@code maxLagMillis}. */
  synchronized void removeExpired(long maxLagMillis, long nowMillis) {
    long retainedFromMillis = nowMillis - maxLagMillis - expiryMillis;
    announcements.values().forEach(history -> history.headMap(retainedFromMillis).clear());
    announcements.values().removeIf(TreeMap::isEmpty);
  }
}
