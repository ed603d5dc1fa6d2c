package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Tests that the announcement of a coordinator stands in the store. */
class LeadershipAnnouncerTest {

  private static final Leadership OWN = new Leadership(9, "e1", "a:1");
  private static final Leadership RESIGNED = new Leadership(9, "e1", "");

  private record Call(Leadership leadership, long sequence) {}

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final List<Call> calls = new ArrayList<>();
  private final Deque<AppendOutcome> outcomes = new ArrayDeque<>();
  private final CellMetrics metrics = new CellMetrics();
  private final LeadershipAnnouncer announcer = announcer();

  private LeadershipAnnouncer announcer() {
    channel.freezeTime();
    CellStore store =
        new UnusedCellStore() {
          @Override
          public CompletableFuture<AppendOutcome> announceLeadership(
              Leadership leadership, long sequence) {
            calls.add(new Call(leadership, sequence));
            return outcomes.isEmpty()
                ? CompletableFuture.failedFuture(new IllegalStateException("no answer"))
                : CompletableFuture.completedFuture(outcomes.poll());
          }
        };
    return new LeadershipAnnouncer(
        store, channel.eventLoop(), () -> 0, metrics, new DecisionLog(metrics, () -> 0));
  }

  private void advanceTime(long millis) {
    for (long passed = 0; passed < millis; passed += 50) {
      channel.advanceTimeBy(50, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
    }
  }

  /**
   * Guards against a coordinator that no other instance learns of, and against a retry that the
   * store takes for another announcement.
   */
  @Example
  void announcementIsRepeatedUntilItIsStored() {
    outcomes.addAll(List.of(AppendOutcome.REFUSED, AppendOutcome.UNKNOWN, AppendOutcome.STORED));
    announcer.announce(OWN);
    advanceTime(5_000);
    assertThat(calls).containsExactly(new Call(OWN, 0), new Call(OWN, 0), new Call(OWN, 0));
  }

  /** Guards against giving up when the store does not answer at all. */
  @Example
  void unansweredAnnouncementIsRepeated() {
    announcer.announce(OWN);
    advanceTime(10_000);
    assertThat(calls).hasSizeGreaterThan(20);
    outcomes.add(AppendOutcome.STORED);
    advanceTime(200);
    int callCount = calls.size();
    advanceTime(5_000);
    assertThat(calls).hasSize(callCount);
  }

  /** Guards against an announcement that the store refuses for its content and is sent for ever. */
  @Example
  void rejectedAnnouncementIsNotRepeated() {
    outcomes.add(AppendOutcome.REJECTED);
    announcer.announce(OWN);
    advanceTime(5_000);
    assertThat(calls).hasSize(1);
  }

  /** Guards against a replaced coordinator that goes on announcing itself. */
  @Example
  void announcementEndsWhenASuccessorHasAnnouncedItself() {
    outcomes.addAll(List.of(AppendOutcome.REFUSED, AppendOutcome.FENCED));
    announcer.announce(OWN);
    advanceTime(5_000);
    assertThat(calls).hasSize(2);
  }

  /** Guards against repeats after the role has ended. */
  @Example
  void stoppedAnnouncerRepeatsNothing() {
    outcomes.add(AppendOutcome.REFUSED);
    announcer.announce(OWN);
    announcer.stop();
    advanceTime(5_000);
    assertThat(calls).hasSize(1);
  }

  /** Guards against an announcement that an older or unreadable record has replaced. */
  @Example
  void replacedAnnouncementIsWrittenAgain() {
    outcomes.addAll(List.of(AppendOutcome.STORED, AppendOutcome.STORED));
    announcer.announce(OWN);
    announcer.observe(OWN);
    announcer.observe(new Leadership(12, "e2", "b:1"));
    assertThat(calls).hasSize(1);
    announcer.observe(Leadership.NONE);
    assertThat(calls).containsExactly(new Call(OWN, 0), new Call(OWN, 1));
    announcer.observe(OWN);
    advanceTime(5_000);
    assertThat(calls).hasSize(2);
  }

  /** Guards against a resignation that the store drops as a retry of the announcement. */
  @Example
  void resignationFollowsTheAnnouncement() {
    outcomes.addAll(List.of(AppendOutcome.STORED, AppendOutcome.REFUSED, AppendOutcome.STORED));
    announcer.announce(OWN);
    announcer.stop();
    CompletableFuture<Void> attempted = announcer.announce(RESIGNED);
    assertThat(attempted).as("the stop of the process does not wait for a repeat").isDone();
    advanceTime(1_000);
    assertThat(calls)
        .containsExactly(new Call(OWN, 0), new Call(RESIGNED, 1), new Call(RESIGNED, 1));
  }
}
