package org.cicadaford.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cicadaford.model.Resources;
import org.cicadaford.platform.LogOutcomeUnknownException;
import org.cicadaford.platform.LogPage;
import org.cicadaford.platform.LogUnavailableException;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.MembershipUnavailableException;
import org.cicadaford.platform.OffsetExpiredException;
import org.cicadaford.platform.PlatformClients;
import org.cicadaford.platform.PlatformSettings;

/** Guards against a client that misinterprets the result of the log or list under a fault. */
class LogStandinTest {

  private LogStandin log;
  private PlatformClients clients;

  @BeforeTry
  void start() throws Exception {
    startWith(LogStandin.Settings.DEFAULT);
  }

  private void startWith(LogStandin.Settings settings) throws Exception {
    log = new LogStandin(settings);
    log.start();
    clients =
        new PlatformClients(
            new PlatformSettings("127.0.0.1", log.port(), 500, 2_000, 1 << 20, 4 << 20, 8));
    clients.start();
  }

  @AfterTry
  void stop() {
    clients.stop();
    log.stop();
  }

  private long append(String content) throws Exception {
    return clients.logService().append("s", content.getBytes());
  }

  private List<String> read(long fromOffset, int maxBytes) throws Exception {
    LogPage page = clients.logService().read("s", fromOffset, maxBytes, 0);
    return page.entries().stream()
        .map(entry -> entry.offset() + new String(entry.content()))
        .toList();
  }

  private static Faults faults(boolean down, long slowMillis, int lostAnswers, boolean silence) {
    return new Faults(
        down, slowMillis, lostAnswers, silence, null, null, false, false, false, false, null);
  }

  static Member member(Member.State state) {
    return new Member(
        "w", Member.Role.WORKER, "z", "r", "127.0.0.1", 1, 0, "", new Resources(1, 2, 3), state);
  }

  @Example
  void recordsAreReadInTheOrderOfTheirOffsetsAndInBoundedPages() throws Exception {
    assertThat(append("aa")).isZero();
    assertThat(append("bb")).isEqualTo(1);

    assertThat(read(0, 100)).containsExactly("0aa", "1bb");
    assertThat(read(0, 1)).containsExactly("0aa");
    assertThat(read(2, 100)).isEmpty();
    assertThat(clients.logService().read("s", 2, 1, 0).endOffset()).isEqualTo(2);
    assertThat(clients.logService().read("other", 0, 1, 0).endOffset()).isZero();
  }

  @Example
  void readWaitsForTheNextRecord() throws Exception {
    CompletableFuture<List<String>> waiting =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return clients.logService().read("s", 0, 9, 60_000).entries().stream()
                    .map(entry -> new String(entry.content()))
                    .toList();
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    append("a");

    assertThat(waiting.join()).containsExactly("a");
  }

  @Example
  void readOfExpiredRecordsReportsTheEarliestOffset() throws Exception {
    stop();
    startWith(new LogStandin.Settings(0, 3_600_000, 2, 0, 5_000, 0));
    for (String content : List.of("a", "b", "c")) {
      append(content);
    }

    OffsetExpiredException byCount =
        catchThrowableOfType(OffsetExpiredException.class, () -> read(0, 9));
    assertThat(byCount.earliestOffset()).isEqualTo(1);
    log.setFaults(
        new Faults(false, 0, 0, false, null, Map.of("s", 3L), false, false, false, false, null));
    OffsetExpiredException byFault =
        catchThrowableOfType(OffsetExpiredException.class, () -> read(2, 9));
    assertThat(byFault.earliestOffset()).isEqualTo(3);
  }

  @Example
  void logThatIsDownRejectsAppendsAndReads() throws Exception {
    log.setFaults(faults(true, 0, 0, false));
    assertThatThrownBy(() -> append("a")).isInstanceOf(LogUnavailableException.class);
    assertThatThrownBy(() -> read(0, 9)).isInstanceOf(LogUnavailableException.class);
    assertThatThrownBy(() -> clients.membershipService().list())
        .isInstanceOf(MembershipUnavailableException.class);

    log.setFaults(Faults.NONE);
    assertThat(read(0, 9)).isEmpty();
  }

  @Example
  void appendWithLostAnswerTakesEffect() throws Exception {
    log.setFaults(faults(false, 0, 1, false));
    assertThatThrownBy(() -> append("a")).isInstanceOf(LogOutcomeUnknownException.class);

    assertThat(append("b")).isEqualTo(1);
    assertThat(read(0, 9)).containsExactly("0a", "1b");
  }

  @Example
  void appendAfterTimeoutHasUnknownOutcomeAndTakesEffect() throws Exception {
    log.setFaults(faults(false, 2_500, 0, false));
    assertThatThrownBy(() -> append("a")).isInstanceOf(LogOutcomeUnknownException.class);

    log.setFaults(Faults.NONE);
    while (read(0, 9).isEmpty()) {
      Thread.sleep(5);
    }
  }

  // An append opens a new connection if the previous one is not idle yet, so the fault is set
  // again until an append uses a silent connection.
  @Example
  void silentConnectionIsReplaced() throws Exception {
    long appendCount = 0;
    boolean usedSilentConnection = false;
    while (!usedSilentConnection) {
      try {
        assertThat(append("a")).isEqualTo(appendCount);
        appendCount++;
        log.setFaults(faults(false, 0, 0, true));
      } catch (LogOutcomeUnknownException e) {
        usedSilentConnection = true;
      }
    }
    assertThat(appendCount).isPositive();
    assertThat(read(0, 1_000)).hasSize((int) appendCount);
  }

  @Example
  void appendsBeyondTheRateAreRefused() throws Exception {
    stop();
    startWith(new LogStandin.Settings(0, 3_600_000, 100, 0, 5_000, 1));
    assertThatThrownBy(
            () -> {
              append("a");
              append("b");
              append("c");
            })
        .isInstanceOf(LogUnavailableException.class);
  }

  @Example
  void membershipListLagsBehindAndRemovesExpiredMembers() {
    LaggingMemberList list = new LaggingMemberList(5_000);
    list.announce(member(Member.State.LIVE), 1_000);
    list.announce(member(Member.State.LEAVING), 2_000);

    assertThat(list.list(500, 1_400)).isEmpty();
    assertThat(list.list(500, 2_400)).containsExactly(member(Member.State.LIVE));
    assertThat(list.list(500, 2_500)).containsExactly(member(Member.State.LEAVING));
    assertThat(list.list(500, 7_501)).isEmpty();
  }

  @Example
  void announcedMemberIsListed() throws Exception {
    clients.membershipService().announce(member(Member.State.LEAVING));

    assertThat(clients.membershipService().list()).containsExactly(member(Member.State.LEAVING));
  }

  @Example
  void cachedMemberListIsReplacedAfterAChange() throws Exception {
    clients.membershipService().announce(member(Member.State.LIVE));
    List<Member> first = clients.membershipService().list();

    assertThat(clients.membershipService().list()).isSameAs(first);

    clients.membershipService().announce(member(Member.State.LEAVING));
    assertThat(clients.membershipService().list()).containsExactly(member(Member.State.LEAVING));
  }
}
