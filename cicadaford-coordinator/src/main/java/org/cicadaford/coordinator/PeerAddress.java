package org.cicadaford.coordinator;

import java.net.InetSocketAddress;

/** Reads addresses of the form {@code ip:port}. */
public final class PeerAddress {

  private PeerAddress() {}

  /**
   * Returns the address that a text states.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("'" + text + "' is not of the form ip:port");
    }
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
