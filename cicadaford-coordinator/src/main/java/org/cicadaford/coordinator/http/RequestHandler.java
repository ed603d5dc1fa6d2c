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

/** Serves callers on connections that stay open, and knows which requests are open. */
@ChannelHandler.Sharable
public final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  /** Answers requests. */
  public interface Responder {

    /** Answers one request. */
    CompletableFuture<FullHttpResponse> respond(FullHttpRequest request);
  }

  /** Whether a request is open on a connection. */
  private static final AttributeKey<Boolean> BUSY = AttributeKey.valueOf("cicadaford.busy");

  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Responder responder;
  private final CellMetrics metrics;
  private final DecisionLog log;
  private final LongSupplier nowMillis;
  private final LongSupplier configVersion;
  private volatile int openRequests;
  private volatile boolean closing;

  /** Creates the handler; {@code configVersion} gives the version that decides a request. */
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

  /** Returns the number of requests that are not answered yet. */
  public int openRequests() {
    return openRequests;
  }

  /** Closes each connection with its next answer from now on. */
  public void closeWithAnswers() {
    closing = true;
  }

  /** Closes the connections on which no request is open; the others close with their answer. */
  public void closeIdle() {
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
    String kind = request.method().name();
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
              answered(kind, id, response, nowMillis.getAsLong() - startedAtMillis);
              context.channel().attr(BUSY).set(false);
              send(context, response, keepAlive && !closing);
            });
  }

  private void answered(String kind, String id, FullHttpResponse response, long tookMillis) {
    openRequests--;
    int status = response.status().code();
    String outcome = Integer.toString(status);
    metrics.requestAnswered(kind, outcome, tookMillis);
    if (status != 200 || !kind.equals("GET")) {
      String inputs =
          "method=" + kind + " took_ms=" + tookMillis + " config=" + configVersion.getAsLong();
      log.decision("request", id, outcome, inputs);
    }
  }

  private FullHttpResponse internalError(String id, Throwable failure) {
    log.decision("request", id, "internal-error", "failure=" + failure);
    // Whether it was done is not known, so the caller has to ask again.
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
