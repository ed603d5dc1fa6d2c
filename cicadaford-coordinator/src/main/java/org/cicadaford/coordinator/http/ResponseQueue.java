package org.cicadaford.coordinator.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sends the responses of a connection in the order of its requests, as RFC 9112 section 9.3.2
 * requires.
 *
 * <p>A client may send a request before it has read the last response, and cannot tell responses in
 * another order apart. Confined to the event loop of the connection.
 */
final class ResponseQueue {

  /**
   * Number of open requests of a connection from which on no further ones are read; bounds the
   * memory that a client can use.
   */
  static final int MAX_OPEN_REQUESTS = 64;

  /** The place of a request in the order of the connection. */
  static final class Slot {
    private FullHttpResponse response;
    private boolean keepAlive;
  }

  private final Channel channel;
  private final Runnable onSent;
  private final Deque<Slot> slots = new ArrayDeque<>();
  private boolean closeRequested;

  /** Creates the queue of a connection; {@code onSent} runs for each response that is sent. */
  ResponseQueue(Channel channel, Runnable onSent) {
    this.channel = channel;
    this.onSent = onSent;
  }

  /** Returns whether all requests are answered. */
  boolean isEmpty() {
    return slots.isEmpty();
  }

  /** Adds a request that has been read. */
  Slot add() {
    Slot slot = new Slot();
    slots.add(slot);
    updateReading();
    return slot;
  }

  /**
   * Sets the response to a request and sends all responses that none precedes.
   *
   * @param keepAlive whether the connection may stay open after the response
   */
  void complete(Slot slot, FullHttpResponse response, boolean keepAlive) {
    slot.response = response;
    slot.keepAlive = keepAlive && HttpUtil.isKeepAlive(response);
    while (!slots.isEmpty() && slots.peek().response != null) {
      Slot next = slots.poll();
      closeRequested |= !next.keepAlive;
      // Requests that were read before the connection is closed are still answered.
      send(next.response, closeRequested && slots.isEmpty());
      onSent.run();
    }
    updateReading();
  }

  private void send(FullHttpResponse response, boolean last) {
    HttpUtil.setContentLength(response, response.content().readableBytes());
    if (last) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else {
      response.headers().remove(HttpHeaderNames.CONNECTION);
    }
    ChannelFuture written = channel.writeAndFlush(response);
    if (last) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  private void updateReading() {
    channel.config().setAutoRead(!closeRequested && slots.size() < MAX_OPEN_REQUESTS);
  }
}
