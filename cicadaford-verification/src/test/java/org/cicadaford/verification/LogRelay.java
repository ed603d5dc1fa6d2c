package org.cicadaford.verification;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes the connections of one daemon to the log, until the daemon is cut off. */
final class LogRelay implements AutoCloseable {

  private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final int targetPort;
  private volatile boolean cut;

  LogRelay(int targetPort) throws IOException {
    this.targetPort = targetPort;
    Thread.ofPlatform().daemon().start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Lets nothing through any more; open connections go silent, as in a partition. */
  void cut() {
    cut = true;
  }

  /** Closes what went silent and lets new connections through. */
  void heal() throws IOException {
    for (Socket socket : open) {
      socket.close();
    }
    open.clear();
    cut = false;
  }

  private void accept() {
    try {
      while (true) {
        Socket client = listener.accept();
        open.add(client);
        if (!cut) {
          Socket target = new Socket(InetAddress.getLoopbackAddress(), targetPort);
          open.add(target);
          Thread.ofPlatform().daemon().start(() -> copy(client, target));
          Thread.ofPlatform().daemon().start(() -> copy(target, client));
        }
      }
    } catch (IOException e) {
      // The listener was closed at the end of the test.
      return;
    }
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[16_384];
    try (from;
        to) {
      int count = from.getInputStream().read(buffer);
      while (count >= 0) {
        if (!cut) {
          to.getOutputStream().write(buffer, 0, count);
        }
        count = from.getInputStream().read(buffer);
      }
    } catch (IOException e) {
      // One side has closed its connection.
      return;
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    heal();
  }
}
