package org.cicadaford.coordinator.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Serves the readiness check and the metrics. */
@ChannelHandler.Sharable
public final class StatusHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final Logger LOGGER = LogManager.getLogger(StatusHandler.class);
  private static final String METRICS_PATH = "/metrics";

  private final String readinessPath;
  private final BooleanSupplier isReady;
  private final PrometheusRegistry registry;
  private final PrometheusTextFormatWriter writer =
      PrometheusTextFormatWriter.builder().setIncludeCreatedTimestamps(false).build();

  /**
   * Creates the handler.
   *
   * @param readinessPath path of the load balancer's readiness check
   */
  public StatusHandler(String readinessPath, BooleanSupplier isReady, PrometheusRegistry registry) {
    this.readinessPath = readinessPath;
    this.isReady = isReady;
    this.registry = registry;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    FullHttpResponse response = respond(request.uri());
    HttpUtil.setContentLength(response, response.content().readableBytes());
    var written = context.writeAndFlush(response);
    if (!HttpUtil.isKeepAlive(request)) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  private FullHttpResponse respond(String uri) {
    if (uri.equals(readinessPath)) {
      return response(
          isReady.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
          new byte[0]);
    }
    return uri.equals(METRICS_PATH)
        ? metrics()
        : response(HttpResponseStatus.NOT_FOUND, new byte[0]);
  }

  private FullHttpResponse metrics() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      writer.write(out, registry.scrape());
    } catch (IOException e) {
      LOGGER.warn("failed to write the metrics", e);
      return response(HttpResponseStatus.INTERNAL_SERVER_ERROR, new byte[0]);
    }
    FullHttpResponse response = response(HttpResponseStatus.OK, out.toByteArray());
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, PrometheusTextFormatWriter.CONTENT_TYPE);
    return response;
  }

  private static FullHttpResponse response(HttpResponseStatus status, byte[] body) {
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
