package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the runs that a worker reports and that are not placed there.
 *
 * <p>Until a later report no longer lists such a run, its worker gets no starts, as the run takes
 * capacity, and its task is not started, as the run may go on.
 */
final class UnplacedRuns {

  /** A run by the name of its task and its number. */
  record Run(String task, int number) {}

  /** The last report that lists a run; the task is null if the cell does not know it. */
  private record Sighting(Task task, long eventNumber) {}

  private final Map<Run, Sighting> sightings = new HashMap<>();

  boolean isEmpty() {
    return sightings.isEmpty();
  }

  /** Records that a report lists a run; returns whether the run was not known. */
  boolean reported(Run run, Task task, long eventNumber) {
    Sighting last = sightings.get(run);
    sightings.put(run, new Sighting(last == null ? task : last.task(), eventNumber));
    if (last == null && task != null) {
      task.unplacedRunAdded();
    }
    return last == null;
  }

  /** Removes a run that is placed now. */
  void remove(Run run) {
    Sighting last = sightings.remove(run);
    if (last != null && last.task() != null) {
      last.task().unplacedRunRemoved();
    }
  }

  /**
   * Removes the runs that are not listed and were last reported before a request; returns their
   * tasks.
   *
   * @param requestNumber number of the last event before the request
   */
  List<Task> removeMissing(Set<Run> listed, long requestNumber) {
    List<Task> tasks = new ArrayList<>();
    Iterator<Map.Entry<Run, Sighting>> entries = sightings.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Run, Sighting> entry = entries.next();
      Sighting last = entry.getValue();
      if (!listed.contains(entry.getKey()) && last.eventNumber() <= requestNumber) {
        entries.remove();
        if (last.task() != null) {
          last.task().unplacedRunRemoved();
          tasks.add(last.task());
        }
      }
    }
    return tasks;
  }
}
