package org.cicadaford.cell;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The cancellation of a job that was not known when it was cancelled, as it is stored.
 *
 * @param queue queue of the job
 * @param team team that cancelled it, or an empty string on an open queue
 * @param cancelledAtMillis Unix time of the cancellation, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record EarlyCancellation(String queue, String team, long cancelledAtMillis) {

  boolean isFor(String otherQueue, String otherTeam) {
    return queue.equals(otherQueue) && team.equals(otherTeam);
  }
}
