package org.cicadaford.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cicadaford.model.RecordCodec;

/** Guards against frames that exhaust the memory or close the connections of other peers. */
class PeerServerTest {

  private static final EventLoopGroup EVENT_LOOPS =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private static final int TEST_MAX_FRAME_BYTES = 4_096;
  private static final int READ_TIMEOUT_MILLIS = 30_000;

  private PeerServer server;

  @BeforeTry
  void startServer() throws PeerException {
    server =
        new PeerServer(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            new PeerSettings(TEST_MAX_FRAME_BYTES, 50, 60_000, 1_000, 8),
            new PeerMessage.Hello("server", "zone"),
            (peer, message) -> CompletableFuture.completedFuture(message),
            EVENT_LOOPS);
    server.start();
  }

  @AfterTry
  void stopServer() {
    server.stop();
  }

  @AfterContainer
  static void stopEventLoops() {
    EVENT_LOOPS.shutdownGracefully();
  }

  @Example
  void oversizeFrameClosesOnlyItsConnection() throws IOException {
    try (Socket other = connect();
        Socket socket = connect()) {
      new DataOutputStream(socket.getOutputStream()).writeInt(Integer.MAX_VALUE);

      assertThat(socket.getInputStream().read()).isEqualTo(-1);
      assertThat(server.failedConnectionCount()).isEqualTo(1);
      assertThat(exchange(other, hello()).message()).isInstanceOf(PeerMessage.Hello.class);
    }
  }

  @Example
  void malformedFrameClosesTheConnection() throws IOException {
    try (Socket socket = connect()) {
      send(socket, new byte[] {1, 2, 3});

      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
  }

  @Example
  void frameOfAnotherVersionClosesTheConnection() throws IOException {
    try (Socket socket = connect()) {
      PeerFrame newer = new PeerFrame(PeerFrame.VERSION + 1, 1, false, hello().message());
      send(socket, RecordCodec.encode(newer));

      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
  }

  @Example
  void messageBeforeHelloIsRefused() throws IOException {
    try (Socket socket = connect()) {
      PeerFrame request =
          new PeerFrame(PeerFrame.VERSION, 5, false, new PeerMessage.JobStatusRequest("job"));

      PeerFrame answer = exchange(socket, request);

      assertThat(answer.messageId()).isEqualTo(5);
      assertThat(answer.message()).isInstanceOf(PeerMessage.Refusal.class);
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    return socket;
  }

  private static PeerFrame hello() {
    return new PeerFrame(PeerFrame.VERSION, 1, false, new PeerMessage.Hello("client", "zone"));
  }

  private static void send(Socket socket, byte[] content) throws IOException {
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    out.writeInt(content.length);
    out.write(content);
    out.flush();
  }

  private static PeerFrame exchange(Socket socket, PeerFrame frame) throws IOException {
    send(socket, RecordCodec.encode(frame));
    DataInputStream in = new DataInputStream(socket.getInputStream());
    byte[] content = new byte[in.readInt()];
    in.readFully(content);
    try {
      return RecordCodec.decode(content, PeerFrame.class);
    } catch (org.cicadaford.model.MalformedRecordException e) {
      throw new IOException(e);
    }
  }
}
