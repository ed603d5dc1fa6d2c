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
 * One connection to a peer, which matches answers to requests by id.
 *
 * <p>A connection on which nothing is read for the silence time is closed, and all its open
 * requests fail at once.
 */
final class PeerConnection {

  private final InetSocketAddress address;
  private final Map<Long, CompletableFuture<PeerMessage>> openRequests = new ConcurrentHashMap<>();
  private final AtomicLong nextMessageId = new AtomicLong();
  private final CompletableFuture<PeerMessage.Hello> greeted = new CompletableFuture<>();
  private volatile Channel channel;

  private PeerConnection(InetSocketAddress address) {
    this.address = address;
  }

  /** Starts to connect; {@link #greeted()} tells when the peer has answered. */
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
        .handler(connection.new Initializer(settings))
        .connect(address)
        .addListener(future -> connection.connected(future.isSuccess(), self, future.cause()));
    return connection;
  }

  private void connected(boolean success, PeerMessage.Hello self, Throwable cause) {
    if (!success) {
      greeted.completeExceptionally(noAnswer(cause));
      return;
    }
    ask(self)
        .whenComplete(
            (answer, failure) -> {
              if (answer instanceof PeerMessage.Hello hello) {
                greeted.complete(hello);
              } else {
                greeted.completeExceptionally(noAnswer(failure));
              }
            });
  }

  /** Returns the peer's greeting, which fails if no connection could be made. */
  CompletableFuture<PeerMessage.Hello> greeted() {
    return greeted;
  }

  /**
   * Sends a message; the answer fails with {@link PeerException} when the connection ends first.
   */
  CompletableFuture<PeerMessage> ask(PeerMessage message) {
    long messageId = nextMessageId.incrementAndGet();
    CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    openRequests.put(messageId, answer);
    Channel current = channel;
    if (current == null || !current.isActive()) {
      fail(messageId, null);
      return answer;
    }
    current
        .writeAndFlush(new PeerFrame(PeerFrame.VERSION, messageId, false, message))
        .addListener(
            future -> {
              if (!future.isSuccess()) {
                fail(messageId, future.cause());
              }
            });
    return answer;
  }

  private void fail(long messageId, Throwable cause) {
    CompletableFuture<PeerMessage> answer = openRequests.remove(messageId);
    if (answer != null) {
      answer.completeExceptionally(noAnswer(cause));
    }
  }

  private PeerException noAnswer(Throwable cause) {
    return new PeerException(
        "peer " + address + " gave no answer; it is tried again on a new connection", cause);
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

  private final class Initializer extends ChannelInitializer<SocketChannel> {

    private final PeerSettings settings;

    private Initializer(PeerSettings settings) {
      this.settings = settings;
    }

    @Override
    protected void initChannel(SocketChannel newChannel) {
      channel = newChannel;
      newChannel
          .pipeline()
          .addLast(new ReadTimeoutHandler(settings.silenceMillis(), TimeUnit.MILLISECONDS));
      PeerFrameCodec.addTo(newChannel.pipeline(), settings);
      newChannel.pipeline().addLast(new Matcher());
    }
  }

  /** Hands each answer to the request of the same id; an answer to no open request is dropped. */
  private final class Matcher extends SimpleChannelInboundHandler<PeerFrame> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
      CompletableFuture<PeerMessage> answer = openRequests.remove(frame.messageId());
      if (answer != null && frame.answer()) {
        answer.complete(frame.message());
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      openRequests.keySet().forEach(messageId -> fail(messageId, null));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
