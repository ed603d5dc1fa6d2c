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
 * Sends HTTP requests on kept connections, each with a timeout and never twice.
 *
 * <p>A connection carries one request at a time. One whose request is not answered in time is
 * closed together with the idle ones to that address, since something between the two ends may have
 * lost track of them. All methods are called on the event loop, and futures complete on it.
 */
public final class HttpClient {

  private static final int CONNECT_TIMEOUT_MILLIS = 700;

  /** Largest answer in bytes; a page of newest records holds at most 1 MB in base64. */
  private static final int MAX_ANSWER_BYTES = 8 << 20;

  /** Time after which an idle connection is closed, before the other end does so. */
  private static final long IDLE_MILLIS = 10_000;

  private final EventLoop loop;
  private final Map<String, Deque<Connection>> idleByAddress = new HashMap<>();

  /** Creates a client whose calls and answers are on {@code loop}. */
  public HttpClient(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Sends a request; fails with {@link HttpRequestException} if no whole answer comes.
   *
   * @param headers names and values by turns
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
    Connection idle = takeIdle(address);
    if (idle != null) {
      idle.begin(exchange);
    } else {
      connect(exchange);
    }
    return exchange.answer;
  }

  private Connection takeIdle(String address) {
    Deque<Connection> idle = idleByAddress.get(address);
    while (idle != null && !idle.isEmpty()) {
      Connection connection = idle.pop();
      connection.stopIdling();
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
                channel.pipeline().addLast(new HttpObjectAggregator(MAX_ANSWER_BYTES));
                channel.pipeline().addLast(connection);
              }
            })
        .connect(address)
        .addListener(
            connected -> {
              if (!connected.isSuccess()) {
                exchange.fail(
                    new HttpRequestException(
                        "no connection to " + exchange.address, false, connected.cause()));
              } else if (exchange.answer.isDone()) {
                connection.channel.close();
              } else {
                connection.begin(exchange);
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

  /** One request and its answer. */
  private final class Exchange {

    private final String address;
    private final FullHttpRequest request;
    private final CompletableFuture<BufferedHttpResponse> answer = new CompletableFuture<>();
    private Connection connection;
    private ScheduledFuture<?> timeout;

    private Exchange(String address, FullHttpRequest request) {
      this.address = address;
      this.request = request;
    }

    private void timedOut() {
      closeIdle(address);
      Connection used = connection;
      fail(new HttpRequestException("no answer from " + address + " in time", used != null, null));
      if (used != null) {
        used.channel.close();
      }
    }

    private void fail(HttpRequestException failure) {
      if (answer.isDone()) {
        // The call timed out while its connection was being made; the request is released once.
        return;
      }
      if (timeout != null) {
        timeout.cancel(false);
      }
      if (connection == null) {
        request.release();
      }
      answer.completeExceptionally(failure);
    }

    private void complete(BufferedHttpResponse whole) {
      timeout.cancel(false);
      answer.complete(whole);
    }
  }

  /** A connection with at most one open request. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private final String address;
    private Channel channel;
    private Exchange exchange;
    private ScheduledFuture<?> idleTimeout;

    private Connection(String address) {
      this.address = address;
    }

    private void begin(Exchange next) {
      exchange = next;
      next.connection = this;
      channel.writeAndFlush(next.request);
    }

    private void stopIdling() {
      if (idleTimeout != null) {
        idleTimeout.cancel(false);
        idleTimeout = null;
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      Exchange answered = exchange;
      exchange = null;
      if (answered == null) {
        context.close();
        return;
      }
      boolean keep = HttpUtil.isKeepAlive(response) && !answered.answer.isDone();
      if (keep) {
        idleByAddress.computeIfAbsent(address, key -> new ArrayDeque<>()).push(this);
        idleTimeout = loop.schedule(() -> context.close(), IDLE_MILLIS, TimeUnit.MILLISECONDS);
      } else {
        context.close();
      }
      answered.complete(
          new BufferedHttpResponse(
              response.status().code(), ByteBufUtil.getBytes(response.content())));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      stopIdling();
      Deque<Connection> idle = idleByAddress.get(address);
      if (idle != null) {
        idle.remove(this);
      }
      Exchange open = exchange;
      exchange = null;
      if (open != null) {
        open.fail(new HttpRequestException("connection to " + address + " was closed", true, null));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
