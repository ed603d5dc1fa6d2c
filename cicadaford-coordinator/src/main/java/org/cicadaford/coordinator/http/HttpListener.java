package org.cicadaford.coordinator.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import org.cicadaford.coordinator.PeerAddress;

/** Accepts HTTP connections on one address. */
public final class HttpListener {

  private static final int BACKLOG = 512;

  private final String address;
  private final int maxBodyBytes;
  private final ChannelHandler handler;
  private final EventLoop loop;
  private Channel channel;

  /** Creates a listener; all connections share {@code handler}. */
  public HttpListener(String address, int maxBodyBytes, ChannelHandler handler, EventLoop loop) {
    this.address = address;
    this.maxBodyBytes = maxBodyBytes;
    this.handler = handler;
    this.loop = loop;
  }

  /**
   * Binds the address.
   *
   * @throws IOException if the address cannot be bound
   */
  public void start() throws IOException {
    var bound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel accepted) {
                    accepted.pipeline().addLast(new HttpServerCodec());
                    accepted.pipeline().addLast(new HttpObjectAggregator(maxBodyBytes));
                    accepted.pipeline().addLast(handler);
                  }
                })
            .bind(PeerAddress.parse(address))
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("cannot listen on " + address + "; choose a free port", bound.cause());
    }
    channel = bound.channel();
  }

  /** Stops accepting connections; open connections remain. */
  public void stop() {
    if (channel != null) {
      channel.close();
    }
  }
}
