package org.cicadaford.platform;

import java.util.concurrent.CompletableFuture;
import org.cicadaford.model.WorkerAnswer;
import org.cicadaford.model.WorkerCommand;

/** Sends commands to workers. */
public interface WorkerService {

  /**
   * Sends a command and returns its answer, which completes exceptionally with {@link
   * WorkerUnreachableException} when none came within the request timeout.
   */
  CompletableFuture<WorkerAnswer> send(Member worker, WorkerCommand command);
}
