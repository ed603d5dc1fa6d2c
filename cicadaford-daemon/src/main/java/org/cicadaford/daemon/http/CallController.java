package org.cicadaford.daemon.http;

import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Header;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.Post;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.daemon.DaemonSettings;
import org.cicadaford.decision.call.CallResult.Answered;
import org.cicadaford.entry.EntryServices;
import org.cicadaford.entry.RequestIdIssuer;
import org.cicadaford.entry.call.ServiceCallHandler.IncomingCall;

/** Handles calls to services. */
@Controller("/v1/services")
final class CallController {

  /**
   * Margin of the server's own timeout over the call's deadline, which the call service enforces.
   */
  private static final long TIMEOUT_MARGIN_MILLIS = 1_000;

  private final EntryServices services;
  private final DaemonSettings settings;
  private final RequestExecutor executor;

  CallController(EntryServices services, DaemonSettings settings, RequestExecutor executor) {
    this.services = services;
    this.settings = settings;
    this.executor = executor;
  }

  @Post("/{service}/call")
  @Consumes(MediaType.ALL)
  CompletableFuture<HttpResponse<byte[]>> call(
      @PathVariable String service,
      HttpRequest<byte[]> request,
      @Header(RequestHeaders.KEY) @Nullable String key,
      @Header(RequestHeaders.REQUEST_ID) @Nullable String givenRequestId,
      @Header(RequestHeaders.DEADLINE) @Nullable String deadline,
      @Header(RequestHeaders.REPEATABLE) @Nullable String repeatable) {
    String requestId = RequestHeaders.requestId(givenRequestId);
    byte[] body = request.getBody().orElse(new byte[0]);
    String contentType =
        request
            .getContentType()
            .map(MediaType::toString)
            .orElse(MediaType.APPLICATION_OCTET_STREAM);
    return executor.run(
        "call",
        requestId,
        deadline,
        TIMEOUT_MARGIN_MILLIS,
        nowMillis ->
            services
                .calls()
                .call(
                    new IncomingCall(
                        RequestIdIssuer.validate(requestId, nowMillis),
                        key,
                        service,
                        contentType,
                        body,
                        nowMillis
                            + RequestHeaders.deadlineMillis(
                                deadline, settings.defaultDeadlineMillis()),
                        RequestHeaders.repeatable(repeatable)),
                    nowMillis)
                .thenApply(CallController::toResponse));
  }

  private static MutableHttpResponse<byte[]> toResponse(Answered answered) {
    return HttpResponse.<byte[]>status(answered.statusCode(), "")
        .body(answered.body())
        .header("Content-Type", answered.contentType());
  }
}
