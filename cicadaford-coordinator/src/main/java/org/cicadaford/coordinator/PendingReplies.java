package org.cicadaford.coordinator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Holds the replies to requests on jobs that wait until a record is stored. */
final class PendingReplies {

  private final Map<String, List<CompletableFuture<CellReply>>> repliesByJobId = new HashMap<>();

  boolean isEmpty() {
    return repliesByJobId.isEmpty();
  }

  /** Returns a reply that waits for a job. */
  CompletableFuture<CellReply> await(String jobId) {
    CompletableFuture<CellReply> reply = new CompletableFuture<>();
    repliesByJobId.computeIfAbsent(jobId, id -> new ArrayList<>()).add(reply);
    return reply;
  }

  /** Removes a reply that no longer waits for a job. */
  void remove(String jobId, CompletableFuture<CellReply> reply) {
    List<CompletableFuture<CellReply>> replies = repliesByJobId.get(jobId);
    if (replies != null && replies.remove(reply) && replies.isEmpty()) {
      repliesByJobId.remove(jobId);
    }
  }

  /** Completes the replies that wait for a job; returns whether there were any. */
  boolean complete(String jobId, CellReply reply) {
    List<CompletableFuture<CellReply>> replies = repliesByJobId.remove(jobId);
    if (replies == null) {
      return false;
    }
    replies.forEach(waiting -> waiting.complete(reply));
    return true;
  }

  /** Completes all replies. */
  void completeAll(CellReply reply) {
    List.copyOf(repliesByJobId.keySet()).forEach(jobId -> complete(jobId, reply));
  }
}
