package org.cicadaford.standin;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.MembershipUnavailableException;
import org.cicadaford.platform.PlatformClients;
import org.cicadaford.platform.PlatformSettings;

/** Announces the instances of a stand-in periodically to the membership list. */
final class Announcer {

  private static final Logger LOG = LogManager.getLogger(Announcer.class);

  private final PlatformClients clients;
  private final long intervalMillis;
  private final Supplier<List<Member>> members;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().daemon().name("announcer").factory());
  private boolean listReachable = true;

  Announcer(PlatformSettings settings, long intervalMillis, Supplier<List<Member>> members) {
    this.clients = new PlatformClients(settings);
    this.intervalMillis = intervalMillis;
    this.members = members;
  }

  void start() {
    clients.start();
    executor.scheduleAtFixedRate(this::announce, 0, intervalMillis, TimeUnit.MILLISECONDS);
  }

  void stop() {
    executor.shutdownNow();
    clients.stop();
  }

  private void announce() {
    boolean reachable = true;
    for (Member member : members.get()) {
      try {
        clients.membershipService().announce(member);
      } catch (MembershipUnavailableException e) {
        reachable = false;
      }
    }
    if (reachable != listReachable) {
      LOG.info("membership list {}", reachable ? "is reachable again" : "is not reachable");
      listReachable = reachable;
    }
  }
}
