package org.cicadaford.wire;

/** Signals that a peer gave no answer. The message may have been received. */
public final class PeerException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message that names the peer and the remedy. */
  public PeerException(String message, Throwable cause) {
    super(message, cause);
  }
}
