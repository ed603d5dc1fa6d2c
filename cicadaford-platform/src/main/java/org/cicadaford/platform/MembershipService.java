package org.cicadaford.platform;

import java.util.List;

/** Reads and updates the platform's eventually consistent list of live and leaving instances. */
public interface MembershipService {

  /**
   * Returns the platform's current membership list, which may be stale.
   *
   * @throws MembershipUnavailableException if the list could not be read; keep using the previous
   *     one
   */
  List<Member> list() throws MembershipUnavailableException;

  /**
   * Announces an instance, or its new state, to the platform.
   *
   * @throws MembershipUnavailableException if the announcement was not confirmed; announce again
   */
  void announce(Member member) throws MembershipUnavailableException;
}
