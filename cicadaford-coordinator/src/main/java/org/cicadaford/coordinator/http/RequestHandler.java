package org.cicadaford.coordinator.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.cicadaford.coordinator.CellMetrics;
import org.cicadaford.coordinator.DecisionLog;

/**
 * Handles callers' requests on persistent connections, answers those of a connection in their order
 * and tracks the open ones.
 */
@ChannelHandler.Sharable
public final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  /** Answers requests. */
  public interface Responder {

    /** Returns the response to a request. */
    CompletableFuture<FullHttpResponse> respond(FullHttpRequest request);
  }

  private static final AttributeKey<ResponseQueue> RESPONSES =
      AttributeKey.valueOf("cicadaford.responses");

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
      if (connection.attr(RESPONSES).get().isEmpty()) {
        connection.close();
      }
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    Channel connection = context.channel();
    connection.attr(RESPONSES).set(new ResponseQueue(connection, () -> openRequests--));
    connections.add(connection);
    context.fireChannelActive();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    openRequests++;
    ResponseQueue responses = context.channel().attr(RESPONSES).get();
    ResponseQueue.Slot slot = responses.add();
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
              responses.complete(slot, response, keepAlive && !closing);
            });
  }

  private void recordResponse(
      String method, String id, FullHttpResponse response, long tookMillis) {
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

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
