package org.cicadaford.cell;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Tracks the incarnations of a worker and the offset of its {@link FencingToken}.
 *
 * <p>An incarnation is the time of its start on the worker's own clock, so a later one may be lower
 * if that clock was set back. A lower one is taken for the current one only if a listing shows it
 * and a report that was requested after that listing does as well: a listing may be stale and a
 * report may have been overtaken.
 */
final class IncarnationTracker {

  private long current;
  private long currentEvent;
  private long addressEvent;
  private int tokenOffset;
  private final Set<Long> followedByLower = new HashSet<>();
  private ListedWorker lowerListing;
  private long lowerListingEvent;
  private long lowerListingAtMillis;
  private boolean inDoubt;
  private long doubtEvent;

  IncarnationTracker(long current, int tokenOffset) {
    this.current = current;
    this.tokenOffset = tokenOffset;
  }

  long current() {
    return current;
  }

  /**
   * Goes back to the incarnation of a restored placement if it is the earliest one, so that the
   * first listing shows the end of all earlier incarnations.
   */
  void restore(long incarnation) {
    current = Math.min(current, incarnation);
  }

  /** Returns whether a request was sent when the current incarnation was known. */
  boolean knownBefore(long requestNumber) {
    return currentEvent <= requestNumber;
  }

  /** Records that the worker may have restarted, because it has not answered or not as expected. */
  void doubt(long eventNumber) {
    inDoubt = true;
    doubtEvent = eventNumber;
  }

  /**
   * Raises the token, so that a worker that has restarted refuses the orders in transit to its
   * earlier incarnation from the first contact on, before its answer shows the restart.
   */
  void raiseToken() {
    tokenOffset = Math.min(tokenOffset + 1, FencingToken.COUNT_PER_EPOCH - 1);
  }

  /** Returns whether the worker may have restarted since its last answer. */
  boolean inDoubt() {
    return inDoubt;
  }

  /**
   * Records a report of the current incarnation. It ends a doubt only if it was requested after
   * that, as an answer may be delayed.
   */
  void answered(long requestNumber) {
    inDoubt &= requestNumber < doubtEvent;
  }

  /** Records that the current incarnation is listed at another address. */
  void addressChanged(long eventNumber) {
    addressEvent = eventNumber;
  }

  /** Returns whether a request was sent when the current address was known. */
  boolean addressKnownBefore(long requestNumber) {
    return addressEvent <= requestNumber;
  }

  int tokenOffset() {
    return tokenOffset;
  }

  void begin(long incarnation, long eventNumber) {
    if (incarnation < current) {
      followedByLower.add(current);
    }
    current = incarnation;
    currentEvent = eventNumber;
    raiseToken();
    lowerListing = null;
  }

  /** Returns whether an incarnation is certainly later than the current one. */
  boolean isLater(long incarnation) {
    return incarnation > current && !followedByLower.contains(incarnation);
  }

  /**
   * Records a listing that does not show the current incarnation or a later one; returns whether
   * the last list did not show it.
   */
  boolean lowerListed(ListedWorker listing, long eventNumber, long nowMillis) {
    if (listing.incarnation() > current) {
      return false;
    }
    boolean known =
        lowerListing != null
            && lowerListing.incarnation() == listing.incarnation()
            && lowerListing.address().equals(listing.address());
    if (!known) {
      lowerListingEvent = eventNumber;
      lowerListingAtMillis = nowMillis;
    }
    lowerListing = listing;
    return !known;
  }

  /** Forgets a listing that the newest list does not confirm. */
  void clearLowerListing() {
    lowerListing = null;
  }

  /** Returns the listing that shows a lower incarnation, or null. */
  ListedWorker lowerListing() {
    return lowerListing;
  }

  /** Returns whether a lower incarnation is listed and the current one has not answered since. */
  boolean mayBeLower(OptionalLong lastAnswerAtMillis) {
    return lowerListing != null
        && (lastAnswerAtMillis.isEmpty() || lastAnswerAtMillis.getAsLong() <= lowerListingAtMillis);
  }

  /**
   * Returns the listing that a report with a lower incarnation confirms, if it does.
   *
   * @param requestNumber number of the last event before the report was requested
   */
  Optional<ListedWorker> confirmedListing(long incarnation, long requestNumber) {
    boolean confirmed =
        lowerListing != null
            && lowerListing.incarnation() == incarnation
            && lowerListingEvent <= requestNumber;
    return confirmed ? Optional.of(lowerListing) : Optional.empty();
  }
}
