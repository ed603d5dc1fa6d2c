package org.cicadaford.coordinator.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.cicadaford.coordinator.CellMetrics;
import org.cicadaford.coordinator.DecisionLog;

/** Handles callers' requests on persistent connections and tracks the open requests. */
@ChannelHandler.Sharable
public final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  /** Answers requests. */
  public interface Responder {

    /** Returns the response to a request. */
    CompletableFuture<FullHttpResponse> respond(FullHttpRequest request);
  }

  /** Whether a connection has an open request. */
  private static final AttributeKey<Boolean> BUSY = AttributeKey.valueOf("cicadaford.busy");

  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Responder responder;
  private final CellMetrics metrics;
  private final DecisionLog log;
  private final LongSupplier nowMillis;
  private final LongSupplier configVersion;
  private volatile int openRequests;
  private volatile boolean closing;

  /** Creates the handler; {@code configVersion} returns the configuration version to log. */
  public RequestHandler(
      Responder responder,
      CellMetrics metrics,
      DecisionLog log,
      LongSupplier nowMillis,
      LongSupplier configVersion) {
    this.responder = responder;
    this.metrics = metrics;
    this.log = log;
    this.nowMillis = nowMillis;
    this.configVersion = configVersion;
  }

  /** Returns the number of unanswered requests. */
  public int openRequests() {
    return openRequests;
  }

  /** Closes each connection after its next response. */
  public void closeAfterNextResponse() {
    closing = true;
  }

  /** Closes connections without an open request; the others close after their response. */
  public void closeIdleConnections() {
    for (Channel connection : connections) {
      if (!Boolean.TRUE.equals(connection.attr(BUSY).get())) {
        connection.close();
      }
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    connections.add(context.channel());
    context.fireChannelActive();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    openRequests++;
    context.channel().attr(BUSY).set(true);
    long startedAtMillis = nowMillis.getAsLong();
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    String method = request.method().name();
    String id = request.uri();
    CompletableFuture<FullHttpResponse> answer;
    try {
      answer = responder.respond(request);
    } catch (RuntimeException e) {
      answer = CompletableFuture.failedFuture(e);
    }
    answer
        .exceptionally(failure -> internalError(id, failure))
        .thenAccept(
            response -> {
              recordResponse(method, id, response, nowMillis.getAsLong() - startedAtMillis);
              context.channel().attr(BUSY).set(false);
              send(context, response, keepAlive && !closing);
            });
  }

  private void recordResponse(
      String method, String id, FullHttpResponse response, long tookMillis) {
    openRequests--;
    int status = response.status().code();
    String outcome = Integer.toString(status);
    metrics.recordRequest(method, outcome, tookMillis);
    if (status != 200 || !method.equals("GET")) {
      String inputs =
          "method=" + method + " took_ms=" + tookMillis + " config=" + configVersion.getAsLong();
      log.write("request", id, outcome, inputs);
    }
  }

  private FullHttpResponse internalError(String id, Throwable failure) {
    log.write("request", id, "internal-error", "failure=" + failure);
    // The request may have been executed, so the caller must ask again.
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.GATEWAY_TIMEOUT);
  }

  private static void send(
      ChannelHandlerContext context, FullHttpResponse response, boolean keepAlive) {
    HttpUtil.setContentLength(response, response.content().readableBytes());
    if (keepAlive && HttpUtil.isKeepAlive(response)) {
      context.writeAndFlush(response);
    } else {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
