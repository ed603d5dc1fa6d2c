package org.cicadaford.coordinator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Holds the replies to requests on jobs that wait until a record is stored. */
final class PendingReplies {

  private final Map<String, List<CompletableFuture<CellReply>>> repliesByKey = new HashMap<>();

  boolean isEmpty() {
    return repliesByKey.isEmpty();
  }

  /** Returns a reply that waits for the record with a key of the caller's choice. */
  CompletableFuture<CellReply> await(String key) {
    CompletableFuture<CellReply> reply = new CompletableFuture<>();
    repliesByKey.computeIfAbsent(key, id -> new ArrayList<>()).add(reply);
    return reply;
  }

  /** Removes a reply that no longer waits for a key. */
  void remove(String key, CompletableFuture<CellReply> reply) {
    List<CompletableFuture<CellReply>> replies = repliesByKey.get(key);
    if (replies != null && replies.remove(reply) && replies.isEmpty()) {
      repliesByKey.remove(key);
    }
  }

  /** Completes the replies that wait for a key; returns whether there were any. */
  boolean complete(String key, CellReply reply) {
    List<CompletableFuture<CellReply>> replies = repliesByKey.remove(key);
    if (replies == null) {
      return false;
    }
    replies.forEach(waiting -> waiting.complete(reply));
    return true;
  }

  /** Completes all replies. */
  void completeAll(CellReply reply) {
    List.copyOf(repliesByKey.keySet()).forEach(key -> complete(key, reply));
  }
}
