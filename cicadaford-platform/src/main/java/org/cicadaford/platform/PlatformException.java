package org.cicadaford.platform;

/** Signals that a request to a platform service failed. */
public abstract sealed class PlatformException extends Exception
    permits LogUnavailableException,
        LogOutcomeUnknownException,
        OffsetExpiredException,
        MembershipUnavailableException,
        WorkerUnreachableException,
        EndpointException {

  private static final long serialVersionUID = 1L;

  PlatformException(String message, Throwable cause) {
    super(message, cause);
  }
}
