package org.cicadaford.cell;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;

/**
 * Remembers the cancellations of jobs that were not known, oldest first.
 *
 * <p>A cancellation overtakes its submission when another instance still holds the submission and
 * repeats it. The job would then run after its caller was told that there is no such job.
 */
final class EarlyCancellations {

  /** Key prefix of the record of the first cancellation of an id, followed by the id. */
  static final String PREFIX = "x/";

  /**
   * Key prefix of the records of an id that is cancelled for another queue or team as well,
   * followed by the id, the queue and the team. Builds that know one cancellation of an id ignore
   * them.
   */
  static final String FURTHER_PREFIX = "xo/";

  /**
   * Maximum number of cancellations, which bounds memory and recovery time: 5,000 take about 1 MB.
   */
  static final int MAX_COUNT = 5_000;

  /**
   * Fraction of the places that is divided between the teams and kept for them; a team may use the
   * rest as well. One team cancels many unknown ids when its caller is at fault.
   */
  private static final double KEPT_FRACTION = 0.5;

  private static final byte[] DELETED = new byte[0];

  /** The cancellations by the keys of their records. */
  private final Map<String, EarlyCancellation> byKey = new LinkedHashMap<>();

  private final Map<String, Integer> countByTeam = new HashMap<>();

  /**
   * Returns whether a team may add a cancellation, which leaves the other teams their shares.
   *
   * @param teams names of all teams
   */
  boolean hasPlace(String team, Set<String> teams) {
    int share = (int) (MAX_COUNT * KEPT_FRACTION / Math.max(1, teams.size()));
    int kept = 0;
    for (String other : teams) {
      if (!other.equals(team)) {
        kept += Math.max(0, share - countByTeam.getOrDefault(other, 0));
      }
    }
    return byKey.size() + kept < MAX_COUNT;
  }

  int count() {
    return byKey.size();
  }

  Optional<EarlyCancellation> find(String jobId, String queue, String team) {
    return keyOf(jobId, queue, team).map(byKey::get);
  }

  private Optional<String> keyOf(String jobId, String queue, String team) {
    EarlyCancellation first = byKey.get(PREFIX + jobId);
    if (first != null && first.isFor(queue, team)) {
      return Optional.of(PREFIX + jobId);
    }
    return Optional.of(furtherKey(jobId, queue, team)).filter(byKey::containsKey);
  }

  private static String furtherKey(String jobId, String queue, String team) {
    return FURTHER_PREFIX + jobId + "/" + queue + "/" + team;
  }

  /**
   * Returns the time until the oldest cancellation of a team expires, in milliseconds; without one,
   * that of the oldest of all.
   */
  long millisUntilExpiry(String team, long keptMillis, ClockReading now) {
    boolean any = !countByTeam.containsKey(team);
    return byKey.values().stream()
        .filter(cancellation -> any || cancellation.team().equals(team))
        .findFirst()
        .map(oldest -> Math.max(0, oldest.cancelledAtMillis() + keptMillis - now.unixMillis()))
        .orElse(0L);
  }

  /** Adds a cancellation and returns the record to store. */
  RecordWrite add(String jobId, EarlyCancellation cancellation) {
    String first = PREFIX + jobId;
    String key =
        byKey.containsKey(first)
            ? furtherKey(jobId, cancellation.queue(), cancellation.team())
            : first;
    put(key, cancellation);
    return new RecordWrite(key, RecordCodec.encode(cancellation));
  }

  private void put(String key, EarlyCancellation cancellation) {
    byKey.put(key, cancellation);
    countByTeam.merge(cancellation.team(), 1, Integer::sum);
  }

  /** Removes a cancellation that is present and returns the deletion of its record. */
  RecordWrite remove(String jobId, String queue, String team) {
    String key = keyOf(jobId, queue, team).orElseThrow();
    uncount(byKey.remove(key));
    return deletion(key);
  }

  private void uncount(EarlyCancellation removed) {
    countByTeam.computeIfPresent(removed.team(), (team, count) -> count == 1 ? null : count - 1);
  }

  private static RecordWrite deletion(String key) {
    return new RecordWrite(key, DELETED);
  }

  /** Removes the oldest cancellation if its retention time has passed. */
  Optional<RecordWrite> removeExpired(long keptMillis, ClockReading now) {
    Iterator<Map.Entry<String, EarlyCancellation>> oldest = byKey.entrySet().iterator();
    if (!oldest.hasNext()) {
      return Optional.empty();
    }
    Map.Entry<String, EarlyCancellation> entry = oldest.next();
    if (now.unixMillis() - entry.getValue().cancelledAtMillis() <= keptMillis) {
      return Optional.empty();
    }
    oldest.remove();
    uncount(entry.getValue());
    return Optional.of(deletion(entry.getKey()));
  }

  /** Forgets a cancellation whose record the store refuses. */
  void discard(String key) {
    EarlyCancellation removed = byKey.remove(key);
    if (removed != null) {
      uncount(removed);
    }
  }

  /** Returns the cancellation of a record that {@link #add} has returned. */
  static EarlyCancellation decode(RecordWrite write) {
    try {
      return RecordCodec.decode(write.value(), EarlyCancellation.class);
    } catch (MalformedRecordException e) {
      throw new IllegalStateException("cannot decode the own record " + write.key(), e);
    }
  }

  /** Returns the id of the job that the cancellation of a key refers to. */
  static String jobIdOf(String key) {
    String rest = key.substring(key.indexOf('/') + 1);
    int end = rest.indexOf('/');
    return end < 0 ? rest : rest.substring(0, end);
  }

  /** Returns whether a key is that of a cancellation. */
  static boolean isKey(String key) {
    return key.startsWith(PREFIX) || key.startsWith(FURTHER_PREFIX);
  }

  /**
   * Restores a stored cancellation; {@link #sortByAge} follows the last one.
   *
   * @throws MalformedRecordException if the record cannot be decoded
   */
  void restore(RecordWrite write) throws MalformedRecordException {
    EarlyCancellation cancellation = RecordCodec.decode(write.value(), EarlyCancellation.class);
    if (cancellation.queue() == null || cancellation.team() == null) {
      throw new MalformedRecordException(EarlyCancellation.class, null);
    }
    put(write.key(), cancellation);
  }

  /** Sorts the cancellations, which the store returns in the order of their keys. */
  void sortByAge() {
    if (byKey.size() < 2) {
      return;
    }
    Map<String, EarlyCancellation> unsorted = new HashMap<>(byKey);
    byKey.clear();
    unsorted.entrySet().stream()
        .sorted(
            Map.Entry.comparingByValue(
                Comparator.comparingLong(EarlyCancellation::cancelledAtMillis)))
        .forEachOrdered(entry -> byKey.put(entry.getKey(), entry.getValue()));
  }
}
