package org.cicadaford.cli.internal.entry;

import io.micronaut.core.type.Argument;
import io.micronaut.http.HttpMethod;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientException;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import java.net.ConnectException;
import java.net.MalformedURLException;
import java.net.URI;
import java.net.UnknownHostException;
import java.time.Duration;

/** Sends requests to entry daemons over HTTP, each on its own connection. */
public final class HttpEntryConnector implements EntryConnector {

  private static final Argument<byte[]> BYTES = Argument.of(byte[].class);
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_ANSWER_BYTES = 64 << 20;

  @Override
  public EntryAnswer send(URI daemon, EntryRequest request) throws EntryFailureException {
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setConnectTimeout(CONNECT_TIMEOUT);
    configuration.setReadTimeout(Duration.ofMillis(request.timeoutMillis()));
    configuration.setFollowRedirects(false);
    configuration.setMaxContentLength(MAX_ANSWER_BYTES);
    configuration.setExceptionOnErrorStatus(false);
    try (HttpClient client = HttpClient.create(daemon.toURL(), configuration)) {
      return answer(client.toBlocking().exchange(toHttp(request), BYTES, BYTES));
    } catch (HttpClientResponseException e) {
      byte[] body = e.getResponse().getBody(byte[].class).orElse(new byte[0]);
      return new EntryAnswer(e.code(), contentType(e.getResponse()), body);
    } catch (HttpClientException e) {
      throw new EntryFailureException(
          !isConnectFailure(e), daemon + " gave no answer: " + e.getMessage(), e);
    } catch (MalformedURLException e) {
      throw new EntryFailureException(false, daemon + " is not an address", e);
    }
  }

  private static MutableHttpRequest<byte[]> toHttp(EntryRequest request) {
    MutableHttpRequest<byte[]> http =
        HttpRequest.create(HttpMethod.valueOf(request.method()), request.path());
    request.headers().forEach(http::header);
    http.header("Accept", "*/*");
    if (!request.contentType().isEmpty()) {
      http.body(request.body());
      http.contentType(request.contentType());
    }
    return http;
  }

  private static EntryAnswer answer(HttpResponse<byte[]> response) {
    return new EntryAnswer(
        response.code(), contentType(response), response.getBody().orElse(new byte[0]));
  }

  private static String contentType(HttpResponse<?> response) {
    return response.getContentType().map(Object::toString).orElse("");
  }

  private static boolean isConnectFailure(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException || cause instanceof UnknownHostException) {
        return true;
      }
    }
    return false;
  }
}
