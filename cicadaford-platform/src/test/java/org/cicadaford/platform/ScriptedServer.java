package org.cicadaford.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Server on loopback that answers each request with the next scripted bytes. */
final class ScriptedServer implements AutoCloseable {

  /** Script entry after which the connection stays open without an answer. */
  static final String SILENCE = "silence";

  private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final Queue<String> script = new ConcurrentLinkedQueue<>();
  final AtomicInteger connectionCount = new AtomicInteger();
  final AtomicInteger closedByClientCount = new AtomicInteger();
  final AtomicInteger requestCount = new AtomicInteger();

  private final Thread acceptor;

  ScriptedServer() throws IOException {
    acceptor = Thread.ofVirtual().start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Adds an answer; one that ends with an ellipsis is cut there by closing the connection. */
  ScriptedServer then(String answer) {
    script.add(answer);
    return this;
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = listener.accept();
        connectionCount.incrementAndGet();
        Thread.ofVirtual().start(() -> serve(connection));
      }
    } catch (IOException e) {
      script.clear();
    }
  }

  private void serve(Socket connection) {
    byte[] buffer = new byte[65536];
    try (connection) {
      while (connection.getInputStream().read(buffer) > 0) {
        requestCount.incrementAndGet();
        String answer = script.remove();
        if (answer.equals(SILENCE)) {
          continue;
        }
        String sent = answer.replace("…", "");
        connection.getOutputStream().write(sent.getBytes(StandardCharsets.ISO_8859_1));
        if (!answer.equals(sent)) {
          return;
        }
      }
      closedByClientCount.incrementAndGet();
    } catch (IOException e) {
      closedByClientCount.incrementAndGet();
    }
  }

  /** Stops listening. The port still accepts connections until the accepting thread has ended. */
  @Override
  public void close() throws IOException, InterruptedException {
    listener.close();
    acceptor.join();
  }
}
