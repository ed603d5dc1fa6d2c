package org.cicadaford.daemon.http;

import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Header;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.Post;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.entry.EntryServices;
import org.cicadaford.entry.RequestIdIssuer;

/** Handles submission, status and cancellation of jobs. */
@Controller("/v1/jobs")
final class JobController {

  private final EntryServices services;
  private final RequestExecutor executor;

  JobController(EntryServices services, RequestExecutor executor) {
    this.services = services;
    this.executor = executor;
  }

  @Post
  @Consumes(MediaType.ALL)
  CompletableFuture<HttpResponse<byte[]>> submit(
      HttpRequest<byte[]> request,
      @Header(RequestHeaders.KEY) @Nullable String key,
      @Header(RequestHeaders.REQUEST_ID) @Nullable String givenRequestId,
      @Header(RequestHeaders.DEADLINE) @Nullable String deadline) {
    String requestId = RequestHeaders.requestId(givenRequestId);
    byte[] body = request.getBody().orElse(null);
    return executor.run(
        "submit",
        requestId,
        deadline,
        nowMillis ->
            services
                .jobs()
                .submit(
                    JobRequestParser.parse(
                        body, RequestIdIssuer.validate(requestId, nowMillis), key),
                    nowMillis)
                .thenApply(receipt -> JsonResponses.json(HttpStatus.ACCEPTED, receipt)));
  }

  @Get("/{jobId}")
  CompletableFuture<HttpResponse<byte[]>> report(
      @PathVariable String jobId,
      @Header(RequestHeaders.KEY) @Nullable String key,
      @Header(RequestHeaders.DEADLINE) @Nullable String deadline) {
    return executor.run(
        "job-report",
        null,
        deadline,
        nowMillis ->
            services
                .jobs()
                .report(jobId, key, nowMillis)
                .thenApply(report -> JsonResponses.json(HttpStatus.OK, report)));
  }

  @Delete("/{jobId}")
  CompletableFuture<HttpResponse<byte[]>> cancel(
      @PathVariable String jobId,
      @Header(RequestHeaders.KEY) @Nullable String key,
      @Header(RequestHeaders.DEADLINE) @Nullable String deadline) {
    return executor.run(
        "cancel",
        null,
        deadline,
        nowMillis ->
            services
                .jobs()
                .cancel(jobId, key, nowMillis)
                .thenApply(
                    done -> JsonResponses.json(HttpStatus.ACCEPTED, Map.of("jobId", jobId))));
  }
}
