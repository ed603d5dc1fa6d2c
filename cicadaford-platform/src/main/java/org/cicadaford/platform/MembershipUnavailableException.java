package org.cicadaford.platform;

/** Signals that the membership list could not be read or updated. */
public final class MembershipUnavailableException extends PlatformException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message that names the failed operation and the remedy. */
  public MembershipUnavailableException(String message, Throwable cause) {
    super(message, cause);
  }
}
