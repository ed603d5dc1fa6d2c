package org.cicadaford.coordinator.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cicadaford.coordinator.PeerAddress;

/**
 * Sends HTTP requests over pooled connections, each with a timeout and without retries.
 *
 * <p>A connection carries one request at a time. After a timeout, its connection and the idle ones
 * to the same address are closed, because a device in between may have dropped their state. All
 * methods are called on the event loop, and futures complete on it.
 */
public final class HttpClient {

  private static final int CONNECT_TIMEOUT_MILLIS = 700;

  /**
   * Maximum size of a response, in bytes; a page of newest records holds at most 1 MB in base64.
   */
  private static final int MAX_RESPONSE_BYTES = 8 << 20;

  /**
   * Time after which an idle connection is closed, in milliseconds; shorter than the server's
   * timeout.
   */
  private static final long IDLE_TIMEOUT_MILLIS = 10_000;

  private final EventLoop loop;
  private final Map<String, Deque<Connection>> idleByAddress = new HashMap<>();

  /** Creates a client that runs on {@code loop}. */
  public HttpClient(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Sends a request; the future fails with {@link HttpRequestException} if no complete response
   * arrives.
   *
   * @param headers alternating names and values
   */
  public CompletableFuture<BufferedHttpResponse> send(
      String address,
      HttpMethod method,
      String uri,
      byte[] body,
      String contentType,
      long timeoutMillis,
      String... headers) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, Unpooled.wrappedBuffer(body));
    request.headers().set(HttpHeaderNames.HOST, address);
    request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    if (body.length > 0) {
      request.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    }
    for (int index = 0; index < headers.length; index += 2) {
      request.headers().set(headers[index], headers[index + 1]);
    }
    Exchange exchange = new Exchange(address, request);
    exchange.timeout = loop.schedule(exchange::timedOut, timeoutMillis, TimeUnit.MILLISECONDS);
    Connection idle = acquireIdle(address);
    if (idle != null) {
      idle.send(exchange);
    } else {
      connect(exchange);
    }
    return exchange.response;
  }

  private Connection acquireIdle(String address) {
    Deque<Connection> idle = idleByAddress.get(address);
    while (idle != null && !idle.isEmpty()) {
      Connection connection = idle.pop();
      connection.cancelIdleTimeout();
      if (connection.channel.isActive()) {
        return connection;
      }
    }
    return null;
  }

  private void connect(Exchange exchange) {
    InetSocketAddress address;
    try {
      address = PeerAddress.parse(exchange.address);
    } catch (IllegalArgumentException e) {
      exchange.fail(new HttpRequestException(e.getMessage(), false, e));
      return;
    }
    Connection connection = new Connection(exchange.address);
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                connection.channel = channel;
                channel.pipeline().addLast(new HttpClientCodec());
                channel.pipeline().addLast(new HttpObjectAggregator(MAX_RESPONSE_BYTES));
                channel.pipeline().addLast(connection);
              }
            })
        .connect(address)
        .addListener(
            connected -> {
              if (!connected.isSuccess()) {
                exchange.fail(
                    new HttpRequestException(
                        "cannot connect to " + exchange.address, false, connected.cause()));
              } else if (exchange.response.isDone()) {
                connection.channel.close();
              } else {
                connection.send(exchange);
              }
            });
  }

  /** Closes the idle connections to an address. */
  private void closeIdle(String address) {
    Deque<Connection> idle = idleByAddress.remove(address);
    if (idle != null) {
      idle.forEach(connection -> connection.channel.close());
    }
  }

  /** Closes all idle connections. */
  public void stop() {
    idleByAddress.values().forEach(idle -> idle.forEach(c -> c.channel.close()));
    idleByAddress.clear();
  }

  /** Tracks one request and its response. */
  private final class Exchange {

    private final String address;
    private final FullHttpRequest request;
    private final CompletableFuture<BufferedHttpResponse> response = new CompletableFuture<>();
    private Connection connection;
    private ScheduledFuture<?> timeout;

    private Exchange(String address, FullHttpRequest request) {
      this.address = address;
      this.request = request;
    }

    private void timedOut() {
      closeIdle(address);
      Connection used = connection;
      fail(
          new HttpRequestException("no response from " + address + " in time", used != null, null));
      if (used != null) {
        used.channel.close();
      }
    }

    private void fail(HttpRequestException failure) {
      if (response.isDone()) {
        // The request timed out while connecting and was already released.
        return;
      }
      if (timeout != null) {
        timeout.cancel(false);
      }
      if (connection == null) {
        request.release();
      }
      response.completeExceptionally(failure);
    }

    private void complete(BufferedHttpResponse received) {
      timeout.cancel(false);
      response.complete(received);
    }
  }

  /** Handles a connection with at most one pending request. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private final String address;
    private Channel channel;
    private Exchange exchange;
    private ScheduledFuture<?> idleTimeout;

    private Connection(String address) {
      this.address = address;
    }

    private void send(Exchange next) {
      exchange = next;
      next.connection = this;
      channel.writeAndFlush(next.request);
    }

    private void cancelIdleTimeout() {
      if (idleTimeout != null) {
        idleTimeout.cancel(false);
        idleTimeout = null;
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      Exchange completed = exchange;
      exchange = null;
      if (completed == null) {
        context.close();
        return;
      }
      boolean keepAlive = HttpUtil.isKeepAlive(response) && !completed.response.isDone();
      if (keepAlive) {
        idleByAddress.computeIfAbsent(address, key -> new ArrayDeque<>()).push(this);
        idleTimeout =
            loop.schedule(() -> context.close(), IDLE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      } else {
        context.close();
      }
      completed.complete(
          new BufferedHttpResponse(
              response.status().code(), ByteBufUtil.getBytes(response.content())));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      cancelIdleTimeout();
      Deque<Connection> idle = idleByAddress.get(address);
      if (idle != null) {
        idle.remove(this);
        if (idle.isEmpty()) {
          // Workers that are replaced never return to their addresses.
          idleByAddress.remove(address);
        }
      }
      Exchange pending = exchange;
      exchange = null;
      if (pending != null) {
        pending.fail(
            new HttpRequestException("connection to " + address + " was closed", true, null));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
