package org.cicadaford.platform;

/** Signals that a service of the platform did not do what it was asked. */
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
