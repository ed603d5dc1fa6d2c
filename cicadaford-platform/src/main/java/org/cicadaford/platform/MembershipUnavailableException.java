package org.cicadaford.platform;

/** Signals that the list of instances could not be read. */
public final class MembershipUnavailableException extends PlatformException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message that names what was asked and the remedy. */
  public MembershipUnavailableException(String message, Throwable cause) {
    super(message, cause);
  }
}
