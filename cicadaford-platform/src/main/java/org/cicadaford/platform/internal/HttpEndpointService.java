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

/** HTTP client that calls endpoints and passes request and response bodies through unchanged. */
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
                throw toEndpointException(endpoint, HttpSender.unwrapCompletionException(failure));
              }
              return toEndpointAnswer(endpoint, call, response);
            });
  }

  private static EndpointAnswer toEndpointAnswer(
      Member endpoint, EndpointCall call, HttpResponse<byte[]> response) {
    String answeredId = response.getHeaders().get(PlatformRoutes.REQUEST_ID_HEADER);
    if (!call.requestId().equals(answeredId)) {
      throw outcomeUnknown(endpoint, "answered request " + answeredId + " instead", null);
    }
    boolean notStarted =
        response.code() == 503
            && "true"
                .equalsIgnoreCase(response.getHeaders().get(PlatformRoutes.NOT_STARTED_HEADER));
    if (notStarted) {
      throw new CompletionException(
          new EndpointException(
              EndpointException.Kind.NOT_STARTED,
              "endpoint " + endpoint.instanceId() + " refused the call; call another endpoint",
              null));
    }
    String contentType = response.getHeaders().get("Content-Type");
    return new EndpointAnswer(
        answeredId,
        response.code(),
        contentType == null ? DEFAULT_CONTENT_TYPE : contentType,
        HttpSender.bodyOf(response));
  }

  private static CompletionException toEndpointException(Member endpoint, Throwable failure) {
    if (failure instanceof RequestFailedException requestFailure
        && !requestFailure.mayHaveBeenSent()) {
      return new CompletionException(
          new EndpointException(
              EndpointException.Kind.NOT_STARTED,
              "endpoint " + endpoint.instanceId() + " could not be reached; call another endpoint",
              failure));
    }
    return outcomeUnknown(endpoint, "sent no complete response", failure);
  }

  private static CompletionException outcomeUnknown(
      Member endpoint, String detail, Throwable cause) {
    return new CompletionException(
        new EndpointException(
            EndpointException.Kind.OUTCOME_UNKNOWN,
            "endpoint "
                + endpoint.instanceId()
                + " "
                + detail
                + "; the call may have been executed, repeat it only if it is idempotent",
            cause));
  }
}
