package org.cicadaford.coordinator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/** Parses addresses of the form {@code ip:port}. */
public final class PeerAddress {

  private static final Pattern HOST_AND_PORT =
      Pattern.compile("[\\x21-\\x7e]+:(?<port>[1-9][0-9]{0,4})");

  private static final int MAX_PORT = 65_535;

  private PeerAddress() {}

  /**
   * Parses an address.
   *
   * @throws IllegalArgumentException if the text does not have the form {@code ip:port}
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("'" + text + "' is not of the form ip:port");
    }
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /**
   * Checks an address that another process has written.
   *
   * @throws IOException if it is not a host of visible ASCII characters and a port
   */
  public static void check(String text) throws IOException {
    if (!isValid(text)) {
      throw new IOException("the address is not a host with a port from 1 to " + MAX_PORT);
    }
  }

  /** Returns whether a text is a host of visible ASCII characters and a port. */
  static boolean isValid(String text) {
    var matcher = HOST_AND_PORT.matcher(text);
    return matcher.matches() && Integer.parseInt(matcher.group("port")) <= MAX_PORT;
  }
}
