package org.cicadaford.coordinator;

import java.net.InetSocketAddress;

/** Parses addresses of the form {@code ip:port}. */
public final class PeerAddress {

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
}
