package org.cicadaford.verification;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Forwards one daemon's connections to the log and can simulate a network partition between them.
 */
final class PartitionableProxy implements AutoCloseable {

  private final ServerSocket serverSocket =
      new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private final int targetPort;
  private volatile boolean partitioned;

  PartitionableProxy(int targetPort) throws IOException {
    this.targetPort = targetPort;
    Thread.ofPlatform().daemon().start(this::accept);
  }

  int port() {
    return serverSocket.getLocalPort();
  }

  /** Starts the partition: connections stay open, but no more bytes are forwarded. */
  void partition() {
    partitioned = true;
  }

  /** Ends the partition: closes the open connections and forwards new ones. */
  void heal() throws IOException {
    for (Socket socket : openSockets) {
      socket.close();
    }
    openSockets.clear();
    partitioned = false;
  }

  private void accept() {
    try {
      while (true) {
        Socket client = serverSocket.accept();
        openSockets.add(client);
        if (!partitioned) {
          Socket target = new Socket(InetAddress.getLoopbackAddress(), targetPort);
          openSockets.add(target);
          Thread.ofPlatform().daemon().start(() -> forward(client, target));
          Thread.ofPlatform().daemon().start(() -> forward(target, client));
        }
      }
    } catch (IOException e) {
      // The server socket was closed at the end of the test.
      return;
    }
  }

  private void forward(Socket from, Socket to) {
    byte[] buffer = new byte[16_384];
    try (from;
        to) {
      int byteCount = from.getInputStream().read(buffer);
      while (byteCount >= 0) {
        if (!partitioned) {
          to.getOutputStream().write(buffer, 0, byteCount);
        }
        byteCount = from.getInputStream().read(buffer);
      }
    } catch (IOException e) {
      // One side has closed its connection.
      return;
    }
  }

  @Override
  public void close() throws IOException {
    serverSocket.close();
    heal();
  }
}
