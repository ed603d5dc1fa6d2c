package org.cicadaford.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Manages one outgoing connection to a peer and matches answers to requests by id.
 *
 * <p>A connection on which nothing is received within the idle timeout is closed, and all its
 * pending requests fail immediately.
 */
final class PeerConnection {

  private final InetSocketAddress address;
  private final Map<Long, CompletableFuture<PeerMessage>> pendingRequests =
      new ConcurrentHashMap<>();
  private final AtomicLong nextMessageId = new AtomicLong();
  private final CompletableFuture<PeerMessage.Hello> handshake = new CompletableFuture<>();
  private volatile Channel channel;

  private PeerConnection(InetSocketAddress address) {
    this.address = address;
  }

  /** Starts to connect; {@link #handshake()} completes when the peer has answered. */
  static PeerConnection open(
      InetSocketAddress address,
      PeerSettings settings,
      PeerMessage.Hello self,
      EventLoopGroup eventLoops) {
    PeerConnection connection = new PeerConnection(address);
    new Bootstrap()
        .group(eventLoops)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis())
        .handler(connection.new ConnectionInitializer(settings))
        .connect(address)
        .addListener(future -> connection.onConnected(future.isSuccess(), self, future.cause()));
    return connection;
  }

  private void onConnected(boolean success, PeerMessage.Hello self, Throwable cause) {
    if (!success) {
      handshake.completeExceptionally(noAnswerException(cause));
      return;
    }
    sendRequest(self)
        .whenComplete(
            (answer, failure) -> {
              if (answer instanceof PeerMessage.Hello hello) {
                handshake.complete(hello);
              } else {
                handshake.completeExceptionally(noAnswerException(failure));
              }
            });
  }

  /** Returns the future hello of the peer, which fails if no connection could be established. */
  CompletableFuture<PeerMessage.Hello> handshake() {
    return handshake;
  }

  /**
   * Sends a request; the answer completes exceptionally with {@link PeerException} if the
   * connection is closed first.
   */
  CompletableFuture<PeerMessage> sendRequest(PeerMessage message) {
    long messageId = nextMessageId.incrementAndGet();
    CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    pendingRequests.put(messageId, answer);
    Channel current = channel;
    if (current == null || !current.isActive()) {
      failRequest(messageId, null);
      return answer;
    }
    current
        .writeAndFlush(new PeerFrame(PeerFrame.VERSION, messageId, false, message))
        .addListener(
            future -> {
              if (!future.isSuccess()) {
                failRequest(messageId, future.cause());
              }
            });
    return answer;
  }

  private void failRequest(long messageId, Throwable cause) {
    CompletableFuture<PeerMessage> answer = pendingRequests.remove(messageId);
    if (answer != null) {
      answer.completeExceptionally(noAnswerException(cause));
    }
  }

  private PeerException noAnswerException(Throwable cause) {
    return new PeerException(
        "peer " + address + " did not answer; a new connection will be tried", cause);
  }

  boolean isOpen() {
    Channel current = channel;
    return current != null && current.isActive();
  }

  void close() {
    Channel current = channel;
    if (current != null) {
      current.close();
    }
  }

  private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {

    private final PeerSettings settings;

    private ConnectionInitializer(PeerSettings settings) {
      this.settings = settings;
    }

    @Override
    protected void initChannel(SocketChannel newChannel) {
      channel = newChannel;
      newChannel
          .pipeline()
          .addLast(new ReadTimeoutHandler(settings.idleTimeoutMillis(), TimeUnit.MILLISECONDS));
      PeerFrameCodec.addTo(newChannel.pipeline(), settings);
      newChannel.pipeline().addLast(new AnswerHandler());
    }
  }

  /** Completes the pending request of each answer; an answer without one is dropped. */
  private final class AnswerHandler extends SimpleChannelInboundHandler<PeerFrame> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
      CompletableFuture<PeerMessage> answer = pendingRequests.remove(frame.messageId());
      if (answer != null && frame.answer()) {
        answer.complete(frame.message());
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      pendingRequests.keySet().forEach(messageId -> failRequest(messageId, null));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
