package org.cicadaford.platform.internal;

import io.micronaut.http.client.netty.NettyClientCustomizer;
import io.micronaut.http.netty.channel.ChannelPipelineCustomizer;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cicadaford.platform.PlatformRoutes;

/**
 * Closes a connection whose request gets no complete response within its timeout, so that an
 * unresponsive connection is never reused.
 *
 * <p>Also closes a connection whose response has neither a content length nor chunked encoding,
 * because a truncated body could not be detected.
 */
final class RequestDeadlineHandler extends ChannelDuplexHandler {

  /** Status codes of responses without a body: No Content and Not Modified. */
  private static final Set<Integer> NO_BODY_STATUSES = Set.of(204, 304);

  private Future<?> closeTimer;

  /** Adds the handler to the pipeline of each new connection. */
  static final class Customizer implements NettyClientCustomizer {

    @Override
    public NettyClientCustomizer specializeForChannel(Channel channel, ChannelRole role) {
      return new NettyClientCustomizer() {
        @Override
        public void onStreamPipelineBuilt() {
          channel
              .pipeline()
              .addAfter(
                  ChannelPipelineCustomizer.HANDLER_HTTP_CLIENT_CODEC,
                  "request-deadline",
                  new RequestDeadlineHandler());
        }
      };
    }
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest request) {
      long timeoutMillis = Long.parseLong(request.headers().get(PlatformRoutes.TIMEOUT_HEADER));
      cancelCloseTimer();
      closeTimer =
          context.executor().schedule(() -> context.close(), timeoutMillis, TimeUnit.MILLISECONDS);
    }
    context.write(message, promise);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse response && !hasDelimitedBody(response)) {
      ReferenceCountUtil.release(message);
      context.close();
      return;
    }
    if (message instanceof LastHttpContent) {
      cancelCloseTimer();
    }
    context.fireChannelRead(message);
  }

  private static boolean hasDelimitedBody(HttpResponse response) {
    return NO_BODY_STATUSES.contains(response.status().code())
        || HttpUtil.isContentLengthSet(response)
        || HttpUtil.isTransferEncodingChunked(response);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    cancelCloseTimer();
    context.fireChannelInactive();
  }

  private void cancelCloseTimer() {
    if (closeTimer != null) {
      closeTimer.cancel(false);
      closeTimer = null;
    }
  }
}
