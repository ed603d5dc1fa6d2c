package org.cicadaford.adapter.standin;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Listens on one port for all lives of a runner; nobody listens while the runner is down. */
final class Relay {
  private final Set<Closeable> open = ConcurrentHashMap.newKeySet();
  private ServerSocket listener;
  private int port;

  int port() {
    return port;
  }

  /** Begins to pass connections to a port. */
  synchronized void start(int target) throws IOException {
    ServerSocket started = new ServerSocket();
    started.setReuseAddress(true);
    started.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    listener = started;
    port = started.getLocalPort();
    Thread.ofVirtual().start(() -> accept(started, target));
  }

  /** Stops listening and resets all connections. */
  synchronized void stop() throws IOException {
    listener.close();
    for (Closeable socket : open) {
      socket.close();
    }
    open.clear();
  }

  private void accept(ServerSocket from, int target) {
    try {
      while (true) {
        Socket near = from.accept();
        Socket far = new Socket(InetAddress.getLoopbackAddress(), target);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        open.add(near);
        open.add(far);
        Thread.ofVirtual().start(() -> copy(near, far));
        Thread.ofVirtual().start(() -> copy(far, near));
      }
    } catch (IOException e) {
      // The runner has crashed.
    }
  }

  private void copy(Socket from, Socket to) {
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] buffer = new byte[8_192];
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        out.write(buffer, 0, count);
      }
    } catch (IOException e) {
      // One side has closed its connection.
    } finally {
      open.remove(from);
      open.remove(to);
    }
  }
}
