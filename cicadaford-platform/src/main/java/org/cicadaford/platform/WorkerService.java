package org.cicadaford.platform;

import java.util.concurrent.CompletableFuture;
import org.cicadaford.model.WorkerAnswer;
import org.cicadaford.model.WorkerCommand;

/** Sends commands to workers. */
public interface WorkerService {

  /**
   * Sends a command and returns a future of the worker's answer. The future fails with {@link
   * WorkerUnreachableException} if no valid answer arrives within the request timeout.
   */
  CompletableFuture<WorkerAnswer> send(Member worker, WorkerCommand command);
}
