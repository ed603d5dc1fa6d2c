package org.cicadaford.platform;

import java.util.List;

/** Reads and changes the platform's lagging list of live and leaving instances. */
public interface MembershipService {

  /**
   * Returns the list as the platform shows it now, which may lag behind the truth.
   *
   * @throws MembershipUnavailableException if the list could not be read; use the last one
   */
  List<Member> list() throws MembershipUnavailableException;

  /**
   * Announces this instance, or its new state, to the platform.
   *
   * @throws MembershipUnavailableException if the platform did not answer; announce again
   */
  void announce(Member member) throws MembershipUnavailableException;
}
