package org.cicadaford.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Loopback server that answers each request with the next scripted response. */
final class ScriptedServer implements AutoCloseable {

  /** Script entry that leaves the connection open without a response. */
  static final String NO_RESPONSE = "silence";

  private final ServerSocket serverSocket =
      new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final Queue<String> script = new ConcurrentLinkedQueue<>();
  final AtomicInteger connectionCount = new AtomicInteger();
  final AtomicInteger closedByClientCount = new AtomicInteger();
  final AtomicInteger requestCount = new AtomicInteger();

  private final Thread acceptor;

  ScriptedServer() throws IOException {
    acceptor = Thread.ofVirtual().start(this::accept);
  }

  int port() {
    return serverSocket.getLocalPort();
  }

  /** Adds a response; an ellipsis at its end truncates it there by closing the connection. */
  ScriptedServer thenRespond(String response) {
    script.add(response);
    return this;
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = serverSocket.accept();
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
        String response = script.remove();
        if (response.equals(NO_RESPONSE)) {
          continue;
        }
        String sentPart = response.replace("…", "");
        connection.getOutputStream().write(sentPart.getBytes(StandardCharsets.ISO_8859_1));
        if (!response.equals(sentPart)) {
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
    serverSocket.close();
    acceptor.join();
  }
}
