package org.cicadaford.wire;

/** Signals that a peer did not answer, although it may have received the message. */
public final class PeerException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates the exception; the message names the peer and what to do. */
  public PeerException(String message, Throwable cause) {
    super(message, cause);
  }
}
