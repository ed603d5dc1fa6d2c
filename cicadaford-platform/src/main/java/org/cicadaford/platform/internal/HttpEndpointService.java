package org.cicadaford.platform.internal;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.cicadaford.platform.EndpointAnswer;
import org.cicadaford.platform.EndpointCall;
import org.cicadaford.platform.EndpointException;
import org.cicadaford.platform.EndpointService;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.PlatformRoutes;
import org.cicadaford.platform.PlatformSettings;

/** Client of endpoints over HTTP, which passes the bodies of calls and answers on unchanged. */
public final class HttpEndpointService implements EndpointService {

  private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

  private final HttpSender sender;
  private final PlatformSettings settings;

  /** Creates a client with the limits of {@code settings}. */
  public HttpEndpointService(HttpSender sender, PlatformSettings settings) {
    this.sender = sender;
    this.settings = settings;
  }

  @Override
  public CompletableFuture<EndpointAnswer> call(Member endpoint, EndpointCall call) {
    if (call.body().length > settings.maxRecordBytes()) {
      return CompletableFuture.failedFuture(
          new EndpointException(
              EndpointException.Kind.NOT_STARTED,
              "a body of "
                  + call.body().length
                  + " bytes is larger than the limit of "
                  + settings.maxRecordBytes()
                  + "; send less",
              null));
    }
    var request =
        HttpRequest.POST(
                HttpSender.address(endpoint.host(), endpoint.port(), PlatformRoutes.CALL, null),
                call.body())
            .contentType(call.contentType())
            .header(PlatformRoutes.REQUEST_ID_HEADER, call.requestId());
    return sender
        .send(request, call.timeoutMillis())
        .handle(
            (response, failure) -> {
              if (failure != null) {
                throw failed(endpoint, HttpSender.unwrapped(failure));
              }
              return answer(endpoint, call, response);
            });
  }

  private static EndpointAnswer answer(
      Member endpoint, EndpointCall call, HttpResponse<byte[]> response) {
    String answeredId = response.getHeaders().get(PlatformRoutes.REQUEST_ID_HEADER);
    if (!call.requestId().equals(answeredId)) {
      throw unknown(endpoint, "answered request " + answeredId + " instead", null);
    }
    boolean notStarted =
        response.code() == 503
            && "true"
                .equalsIgnoreCase(response.getHeaders().get(PlatformRoutes.NOT_STARTED_HEADER));
    if (notStarted) {
      throw new CompletionException(
          new EndpointException(
              EndpointException.Kind.NOT_STARTED,
              "endpoint " + endpoint.instanceId() + " refused the call; use another one",
              null));
    }
    String contentType = response.getHeaders().get("Content-Type");
    return new EndpointAnswer(
        answeredId,
        response.code(),
        contentType == null ? DEFAULT_CONTENT_TYPE : contentType,
        HttpSender.bodyOf(response));
  }

  private static CompletionException failed(Member endpoint, Throwable failure) {
    if (failure instanceof RequestFailedException notSent && !notSent.mayHaveBeenSent()) {
      return new CompletionException(
          new EndpointException(
              EndpointException.Kind.NOT_STARTED,
              "endpoint " + endpoint.instanceId() + " was not reached; use another one",
              failure));
    }
    return unknown(endpoint, "gave no whole answer", failure);
  }

  private static CompletionException unknown(Member endpoint, String what, Throwable cause) {
    return new CompletionException(
        new EndpointException(
            EndpointException.Kind.OUTCOME_UNKNOWN,
            "endpoint "
                + endpoint.instanceId()
                + " "
                + what
                + "; the call may have run, repeat it only if that does no harm",
            cause));
  }
}
