package org.cicadaford.platform.internal;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.model.WorkerAnswer;
import org.cicadaford.model.WorkerCommand;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.PlatformRoutes;
import org.cicadaford.platform.PlatformSettings;
import org.cicadaford.platform.WorkerService;
import org.cicadaford.platform.WorkerUnreachableException;

/** HTTP client that sends commands to workers. */
public final class HttpWorkerService implements WorkerService {

  private final HttpSender sender;
  private final PlatformSettings settings;

  /** Creates a client with the timeouts of {@code settings}. */
  public HttpWorkerService(HttpSender sender, PlatformSettings settings) {
    this.sender = sender;
    this.settings = settings;
  }

  @Override
  public CompletableFuture<WorkerAnswer> send(Member worker, WorkerCommand command) {
    var request =
        HttpRequest.POST(
                HttpSender.address(worker.host(), worker.port(), PlatformRoutes.COMMANDS, null),
                RecordCodec.encode(command))
            .contentType(PlatformRoutes.MESSAGE_PACK);
    return sender
        .send(request, settings.requestTimeoutMillis())
        .handle(
            (response, failure) -> {
              if (failure != null) {
                throw workerUnreachable(
                    worker, "did not answer", HttpSender.unwrapCompletionException(failure));
              }
              return toWorkerAnswer(worker, response);
            });
  }

  private static WorkerAnswer toWorkerAnswer(Member worker, HttpResponse<byte[]> response) {
    if (response.code() != 200) {
      throw workerUnreachable(worker, "responded with status " + response.code(), null);
    }
    try {
      WorkerAnswer answer = RecordCodec.decode(HttpSender.bodyOf(response), WorkerAnswer.class);
      if (!answer.workerId().equals(worker.instanceId())) {
        throw workerUnreachable(
            worker, "was replaced at its address by worker " + answer.workerId(), null);
      }
      return answer;
    } catch (MalformedRecordException e) {
      throw workerUnreachable(worker, "sent a malformed answer", e);
    }
  }

  private static CompletionException workerUnreachable(
      Member worker, String detail, Throwable cause) {
    return new CompletionException(
        new WorkerUnreachableException(
            "worker "
                + worker.instanceId()
                + " "
                + detail
                + "; it may have executed the command, send the command again",
            cause));
  }
}
