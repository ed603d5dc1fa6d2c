package org.cicadaford.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Accepts connections from peers and passes their messages to a {@link PeerHandler}. */
public final class PeerServer {

  private static final Logger LOGGER = LogManager.getLogger(PeerServer.class);

  private final InetSocketAddress bindAddress;
  private final PeerSettings settings;
  private final PeerMessage.Hello self;
  private final PeerHandler handler;
  private final EventLoopGroup eventLoops;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicLong failedConnections = new AtomicLong();
  private Channel listener;

  /** Creates the server; {@code eventLoops} is owned by the caller. */
  public PeerServer(
      InetSocketAddress bindAddress,
      PeerSettings settings,
      PeerMessage.Hello self,
      PeerHandler handler,
      EventLoopGroup eventLoops) {
    this.bindAddress = bindAddress;
    this.settings = settings;
    this.self = self;
    this.handler = handler;
    this.eventLoops = eventLoops;
  }

  /**
   * Binds the address and starts to listen.
   *
   * @throws PeerException if the address cannot be bound
   */
  public void start() throws PeerException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .childHandler(new ConnectionInitializer());
    ChannelFuture bound = bootstrap.bind(bindAddress).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new PeerException(
          "cannot listen for peers on " + bindAddress + "; choose a free port", bound.cause());
    }
    listener = bound.channel();
  }

  /** Stops listening and closes all connections. */
  public void stop() {
    if (listener != null) {
      listener.close().awaitUninterruptibly();
    }
    connections.close().awaitUninterruptibly();
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Returns the number of connections closed because of an error, such as an invalid frame. */
  public long failedConnectionCount() {
    return failedConnections.get();
  }

  private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {

    @Override
    protected void initChannel(SocketChannel channel) {
      if (connections.size() >= settings.maxConnections()) {
        channel.close();
        return;
      }
      connections.add(channel);
      channel
          .pipeline()
          .addLast(new ReadTimeoutHandler(settings.idleTimeoutMillis(), TimeUnit.MILLISECONDS));
      PeerFrameCodec.addTo(channel.pipeline(), settings);
      channel.pipeline().addLast(new MessageHandler());
    }
  }

  /** Handles the request frames of one connection. */
  private final class MessageHandler extends SimpleChannelInboundHandler<PeerFrame> {

    private PeerMessage.Hello peer;

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
      handleMessage(frame.message())
          .exceptionally(failure -> new PeerMessage.Refusal(String.valueOf(failure.getMessage())))
          .thenAccept(answer -> sendAnswer(context, frame.messageId(), answer));
    }

    private CompletableFuture<PeerMessage> handleMessage(PeerMessage message) {
      if (message instanceof PeerMessage.Hello hello) {
        peer = hello;
        return CompletableFuture.completedFuture(self);
      }
      if (peer == null) {
        return CompletableFuture.completedFuture(
            new PeerMessage.Refusal("the first message of a connection must be a hello"));
      }
      return handler.answer(peer, message);
    }

    private static void sendAnswer(
        ChannelHandlerContext context, long messageId, PeerMessage answer) {
      context.writeAndFlush(new PeerFrame(PeerFrame.VERSION, messageId, true, answer));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      failedConnections.incrementAndGet();
      LOGGER.debug("closed the connection to peer {}: {}", peer, cause.getMessage());
      context.close();
    }
  }
}
