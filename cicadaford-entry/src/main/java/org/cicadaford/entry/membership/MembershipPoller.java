package org.cicadaford.entry.membership;

import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.Member.Role;
import org.cicadaford.platform.Member.State;
import org.cicadaford.platform.MembershipService;
import org.cicadaford.platform.MembershipUnavailableException;

/** Polls the membership list every second and announces this instance. */
public final class MembershipPoller {

  private static final Logger LOG = LogManager.getLogger(MembershipPoller.class);
  private static final long POLL_INTERVAL_MILLIS = 1_000;

  private final MembershipService service;
  private final Consumer<List<Member>> listener;
  private final InstantSource clock;
  private final EntryMetrics metrics;
  private final Thread thread;
  private volatile Member self;
  private volatile MemberList current = new MemberList(List.of(), 0);
  private volatile boolean stopping;
  private volatile boolean available;

  /**
   * Holds a membership list.
   *
   * @param members listed instances
   * @param readAtMillis time just before the list was requested; 0 if none was read yet
   */
  public record MemberList(List<Member> members, long readAtMillis) {

    /** Copies the members. */
    public MemberList {
      members = List.copyOf(members);
    }

    /** Returns the instances of {@code role} in {@code zone}. */
    public List<Member> inZone(String zone, Role role) {
      return members.stream().filter(m -> m.role() == role && m.zone().equals(zone)).toList();
    }

    /** Returns the instances of {@code role} in all zones. */
    public List<Member> withRole(Role role) {
      return members.stream().filter(member -> member.role() == role).toList();
    }
  }

  /**
   * Creates a poller that is not started.
   *
   * @param listener receives each list, on the poller's thread
   */
  public MembershipPoller(
      MembershipService service,
      Consumer<List<Member>> listener,
      InstantSource clock,
      EntryMetrics metrics) {
    this.listener = listener;
    this.service = service;
    this.clock = clock;
    this.metrics = metrics;
    this.thread = new Thread(this::run, "membership");
  }

  /** Starts the poller's thread, which announces {@code member} as this instance. */
  public void start(Member member) {
    self = member;
    thread.start();
  }

  /** Stops the poller and waits for its thread to end. */
  public void stop() throws InterruptedException {
    stopping = true;
    thread.interrupt();
    thread.join(5_000);
  }

  /** Returns the last list that was read. */
  public MemberList current() {
    return current;
  }

  /** Announces that this instance is leaving, and returns whether the platform accepted it. */
  public boolean announceLeaving() {
    self = leaving(self);
    try {
      service.announce(self);
      return true;
    } catch (MembershipUnavailableException e) {
      markUnavailable(e);
      return false;
    }
  }

  private static Member leaving(Member self) {
    return new Member(
        self.instanceId(),
        self.role(),
        self.zone(),
        self.rack(),
        self.host(),
        self.port(),
        self.peerPort(),
        self.service(),
        self.capacity(),
        State.LEAVING);
  }

  private void run() {
    while (!stopping) {
      poll();
      LockSupport.parkNanos(POLL_INTERVAL_MILLIS * 1_000_000);
    }
  }

  private void poll() {
    long nowMillis = clock.millis();
    try {
      service.announce(self);
      current = new MemberList(service.list(), nowMillis);
      listener.accept(current.members());
      markAvailable();
    } catch (MembershipUnavailableException e) {
      markUnavailable(e);
    }
  }

  private void markAvailable() {
    if (!available) {
      available = true;
      LOG.info("membership list is available");
    }
  }

  private void markUnavailable(MembershipUnavailableException cause) {
    metrics.countRetry("membership");
    if (available && !stopping) {
      available = false;
      LOG.warn("membership list is unavailable, keeping the last one: {}", cause.getMessage());
    }
  }
}
