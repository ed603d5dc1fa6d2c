package org.cicadaford.adapter.standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** One HTTP/1.1 connection of a client; requests may be sent before earlier ones are answered. */
final class Http implements AutoCloseable {
  static final String HOST = "jobs.example";

  /** An answer; the status is 0 if none arrived. */
  record Answer(int status, String body) {
    static final Answer NONE = new Answer(0, "");

    boolean accepted() {
      return status >= 200 && status < 300;
    }
  }

  private final Socket socket = new Socket();
  private final InputStream in;

  Http(InetSocketAddress address, int timeoutMillis) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(address, timeoutMillis);
    socket.setSoTimeout(timeoutMillis);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Returns the bytes of a request. */
  static byte[] encode(String method, String path, String key, int timeoutMillis, String body) {
    byte[] content = body.getBytes(StandardCharsets.UTF_8);
    String head =
        method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nAuthorization: Bearer " + key
            + "\r\nX-Timeout-Ms: " + timeoutMillis
            + (content.length > 0 ? "\r\nContent-Type: application/json" : "")
            + "\r\nContent-Length: " + content.length + "\r\n\r\n";
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
    bytes.writeBytes(content);
    return bytes.toByteArray();
  }

  void send(byte[] request) throws IOException {
    socket.getOutputStream().write(request);
    socket.getOutputStream().flush();
  }

  /** Reads the next answer on the connection. */
  Answer read() throws IOException {
    String statusLine = line();
    int status = Integer.parseInt(statusLine.split(" ")[1]);
    int length = 0;
    for (String line = line(); !line.isEmpty(); line = line()) {
      String lower = line.toLowerCase(Locale.ROOT);
      if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(lower.substring(15).trim());
      }
    }
    return new Answer(status, new String(in.readNBytes(length), StandardCharsets.UTF_8));
  }

  private String line() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException("the connection ended before the answer was complete");
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  /** Sends one request on a new connection. */
  static Answer call(
      InetSocketAddress address,
      String method,
      String path,
      String key,
      int timeoutMillis,
      String body) {
    try (Http http = new Http(address, timeoutMillis)) {
      http.send(encode(method, path, key, timeoutMillis, body));
      return http.read();
    } catch (IOException e) {
      return Answer.NONE;
    }
  }
}
