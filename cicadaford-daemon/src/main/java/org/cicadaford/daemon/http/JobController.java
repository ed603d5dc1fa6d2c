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

/** Routes for jobs. */
@Controller("/v1/jobs")
final class JobController {

  private final EntryServices services;
  private final RequestRunner runner;

  JobController(EntryServices services, RequestRunner runner) {
    this.services = services;
    this.runner = runner;
  }

  @Post
  @Consumes(MediaType.ALL)
  CompletableFuture<HttpResponse<byte[]>> submit(
      HttpRequest<byte[]> request,
      @Header(Headers.KEY) @Nullable String key,
      @Header(Headers.REQUEST_ID) @Nullable String givenRequestId,
      @Header(Headers.DEADLINE) @Nullable String deadline) {
    String requestId = Headers.requestId(givenRequestId);
    byte[] body = request.getBody().orElse(null);
    return runner.run(
        "submit",
        requestId,
        deadline,
        nowMillis ->
            services
                .jobs()
                .submit(
                    JobBodies.read(body, RequestIdIssuer.validate(requestId, nowMillis), key),
                    nowMillis)
                .thenApply(receipt -> Answers.json(HttpStatus.ACCEPTED, receipt)));
  }

  @Get("/{jobId}")
  CompletableFuture<HttpResponse<byte[]>> report(
      @PathVariable String jobId,
      @Header(Headers.KEY) @Nullable String key,
      @Header(Headers.DEADLINE) @Nullable String deadline) {
    return runner.run(
        "job-report",
        null,
        deadline,
        nowMillis ->
            services
                .jobs()
                .report(jobId, key, nowMillis)
                .thenApply(report -> Answers.json(HttpStatus.OK, report)));
  }

  @Delete("/{jobId}")
  CompletableFuture<HttpResponse<byte[]>> cancel(
      @PathVariable String jobId,
      @Header(Headers.KEY) @Nullable String key,
      @Header(Headers.DEADLINE) @Nullable String deadline) {
    return runner.run(
        "cancel",
        null,
        deadline,
        nowMillis ->
            services
                .jobs()
                .cancel(jobId, key, nowMillis)
                .thenApply(done -> Answers.json(HttpStatus.ACCEPTED, Map.of("jobId", jobId))));
  }
}
