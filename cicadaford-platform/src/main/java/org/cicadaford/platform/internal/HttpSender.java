package org.cicadaford.platform.internal;

import io.micronaut.core.annotation.AnnotationMetadataResolver;
import io.micronaut.core.convert.ConversionService;
import io.micronaut.core.io.ResourceResolver;
import io.micronaut.core.type.Argument;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.bind.DefaultRequestBinderRegistry;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClientConfiguration;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import io.micronaut.http.client.filter.DefaultHttpClientFilterResolver;
import io.micronaut.http.client.netty.DefaultHttpClient;
import io.micronaut.http.client.netty.ssl.NettyClientSslBuilder;
import io.micronaut.websocket.context.WebSocketBeanRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.ConnectException;
import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cicadaford.platform.PlatformRoutes;
import org.cicadaford.platform.PlatformSettings;
import reactor.core.publisher.Mono;

/** Sends HTTP requests, each with its own timeout and without retries. */
public final class HttpSender {

  private static final int THREAD_COUNT = 2;

  /**
   * Time after which an idle connection is closed. It is shorter than the usual idle timeout of
   * servers, 30 s, because a request sent while the server closes has an unknown outcome.
   */
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(20);

  private static final Argument<byte[]> BODY_TYPE = Argument.of(byte[].class);

  private final PlatformSettings settings;
  private volatile DefaultHttpClient client;
  private volatile EventLoopGroup eventLoops;

  /** Creates a sender; call {@link #start()} before use. */
  public HttpSender(PlatformSettings settings) {
    this.settings = settings;
  }

  /** Starts the client threads. */
  public void start() {
    eventLoops =
        new MultiThreadIoEventLoopGroup(
            THREAD_COUNT,
            new DefaultThreadFactory("platform-client", true),
            NioIoHandler.newFactory());
    client = createClient(createConfiguration(), eventLoops);
  }

  /** Closes all connections. */
  public void stop() {
    DefaultHttpClient currentClient = client;
    client = null;
    if (currentClient != null) {
      currentClient.stop();
      eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private HttpClientConfiguration createConfiguration() {
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    // The platform uses plain HTTP; loading the trust store would take several megabytes of memory.
    configuration.getSslConfiguration().setEnabled(false);
    configuration.setFollowRedirects(false);
    configuration.setConnectTimeout(Duration.ofMillis(settings.connectTimeoutMillis()));
    configuration.setReadTimeout(null);
    configuration.setConnectionPoolIdleTimeout(IDLE_TIMEOUT);
    configuration.setMaxContentLength(settings.maxAnswerBytes());
    configuration
        .getConnectionPoolConfiguration()
        .setMaxConcurrentHttp1Connections(settings.maxConnectionsPerHost());
    return configuration;
  }

  // The client's builder accepts no customizer, and the factory that does needs a bean context.
  @SuppressWarnings("deprecation")
  private static DefaultHttpClient createClient(
      HttpClientConfiguration configuration, EventLoopGroup eventLoops) {
    DefaultHttpClient defaults = DefaultHttpClient.builder().configuration(configuration).build();
    return new DefaultHttpClient(
        null,
        null,
        configuration,
        null,
        new DefaultHttpClientFilterResolver(null, AnnotationMetadataResolver.DEFAULT, List.of()),
        List.of(),
        null,
        new NettyClientSslBuilder(new ResourceResolver()),
        defaults.getMediaTypeCodecRegistry(),
        defaults.getHandlerRegistry(),
        WebSocketBeanRegistry.EMPTY,
        new DefaultRequestBinderRegistry(ConversionService.SHARED),
        eventLoops,
        NioSocketChannel::new,
        NioDatagramChannel::new,
        new RequestDeadlineHandler.Customizer(),
        null,
        ConversionService.SHARED,
        null);
  }

  static URI address(String host, int port, String path, String query) {
    try {
      return new URI("http", null, host, port, path, query, null);
    } catch (URISyntaxException e) {
      throw new IllegalArgumentException(host + " is not an IP address; correct the settings", e);
    }
  }

  /**
   * Sends a request and returns a future of the complete response, whatever its status. The future
   * fails with {@link RequestFailedException}.
   */
  CompletableFuture<HttpResponse<byte[]>> send(MutableHttpRequest<?> request, long timeoutMillis) {
    DefaultHttpClient currentClient = client;
    if (currentClient == null) {
      return CompletableFuture.failedFuture(
          new RequestFailedException(false, "the client is not started; start it first", null));
    }
    if (timeoutMillis <= 0) {
      return CompletableFuture.failedFuture(
          new RequestFailedException(
              false, "the timeout has already expired; allow more time", null));
    }
    request.header(PlatformRoutes.TIMEOUT_HEADER, Long.toString(timeoutMillis));
    CompletableFuture<HttpResponse<byte[]>> exchange =
        Mono.from(currentClient.exchange(request, BODY_TYPE, BODY_TYPE)).toFuture();
    return exchange
        .copy()
        .orTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
        .handle(
            (response, failure) -> {
              exchange.cancel(true);
              return failure == null
                  ? response
                  : toResponse(request, unwrapCompletionException(failure));
            });
  }

  @SuppressWarnings("unchecked")
  private static HttpResponse<byte[]> toResponse(MutableHttpRequest<?> request, Throwable failure) {
    if (failure instanceof HttpClientResponseException e) {
      return (HttpResponse<byte[]>) e.getResponse();
    }
    String reason =
        failure instanceof TimeoutException ? "timeout" : String.valueOf(failure.getMessage());
    throw new CompletionException(
        new RequestFailedException(
            !isConnectFailure(failure),
            request.getMethod() + " " + request.getUri() + " got no response: " + reason,
            failure));
  }

  private static boolean isConnectFailure(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException) {
        return true;
      }
    }
    return false;
  }

  static Throwable unwrapCompletionException(Throwable failure) {
    return failure instanceof CompletionException && failure.getCause() != null
        ? failure.getCause()
        : failure;
  }

  /** Sends a request and blocks until its response arrives. */
  HttpResponse<byte[]> sendAndWait(MutableHttpRequest<?> request, long timeoutMillis)
      throws RequestFailedException {
    try {
      return send(request, timeoutMillis).get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new RequestFailedException(true, "interrupted while waiting for the response", e);
    } catch (ExecutionException e) {
      if (e.getCause() instanceof RequestFailedException failure) {
        throw failure;
      }
      throw new RequestFailedException(true, "the request failed: " + e.getCause(), e.getCause());
    }
  }

  /** Returns the body of a response, or an empty array if it has none. */
  static byte[] bodyOf(HttpResponse<byte[]> response) {
    return response.getBody(byte[].class).orElseGet(() -> new byte[0]);
  }
}
