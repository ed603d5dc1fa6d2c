package org.cicadaford.entry.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.apache.commons.rng.simple.RandomSource;
import org.cicadaford.decision.RequestLedger;
import org.cicadaford.decision.RequestLedger.CallEntry;
import org.cicadaford.decision.call.CallResult;
import org.cicadaford.decision.call.CallResult.Answered;
import org.cicadaford.decision.call.CallResult.Refused;
import org.cicadaford.decision.call.RefusalKind;
import org.cicadaford.entry.RequestIdIssuer;
import org.cicadaford.model.RequestRecord;
import org.cicadaford.model.RequestRecord.CallClaimed;
import org.cicadaford.model.RunOutcome;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.PlatformClients;
import org.cicadaford.platform.PlatformSettings;
import org.cicadaford.standin.EndpointStandin;
import org.cicadaford.standin.Faults;

/** Guards against answers mixed up between threads or connections, with HTTP on loopback. */
class SingleThreadCallEventLoopTest {

  private static final int CALL_COUNT = 400;

  private final PlatformClients clients =
      new PlatformClients(PlatformSettings.forLog("127.0.0.1", 1));
  private final SingleThreadCallEventLoop eventLoop = new SingleThreadCallEventLoop();
  private final List<EndpointStandin> endpoints = new ArrayList<>();
  private final Map<Integer, String> idsByIndex = new HashMap<>();
  private CallService service;

  /** Appends to a ledger in memory and reads back immediately. */
  private static final class ImmediateAppender implements RequestAppender {
    private final RequestLedger ledger = new RequestLedger();
    private long nextOffset;

    @Override
    public synchronized CompletableFuture<ReadBack> append(RequestRecord record) {
      long offset = nextOffset++;
      var verdict = ledger.apply(offset, record, System.currentTimeMillis());
      Optional<CallEntry> current =
          record instanceof CallClaimed claimed
              ? ledger.call(claimed.requestId())
              : Optional.empty();
      return CompletableFuture.completedFuture(new ReadBack(offset, verdict, current));
    }

    @Override
    public synchronized Optional<CallEntry> recordedCall(String requestId) {
      return ledger.call(requestId);
    }
  }

  @BeforeTry
  void start() throws Exception {
    clients.start();
    for (int index = 0; index < 3; index++) {
      EndpointStandin endpoint =
          new EndpointStandin(new EndpointStandin.Settings("e-" + index, "s", "z", "r", 0, 8, 5));
      endpoint.start();
      endpoints.add(endpoint);
    }
    service =
        new CallService(
            CallSettings.forInstance("entry-0", "z"),
            eventLoop,
            new ImmediateAppender(),
            clients.endpointService(),
            RandomSource.XO_RO_SHI_RO_128_PP.create(1));
    service.start();
    announce();
  }

  private void announce() {
    List<Member> members = endpoints.stream().map(EndpointStandin::member).toList();
    service.onMembershipChanged(members);
  }

  @AfterTry
  void stop() {
    eventLoop.stop();
    clients.stop();
    endpoints.forEach(EndpointStandin::stop);
  }

  private CompletableFuture<CallResult> call(int index) {
    long nowMillis = System.currentTimeMillis();
    String id = RequestIdIssuer.generate();
    idsByIndex.put(index, id);
    return service.call(
        new CallRequest(
            id,
            nowMillis,
            "team",
            "s",
            "text/plain",
            id.getBytes(),
            nowMillis + 20_000,
            index % 2 == 0));
  }

  private static Faults lostAnswers(int count) {
    return new Faults(false, 0, count, false, null, null, false, false, false, false, null);
  }

  @Example
  void callsUnderFaultsGetTheirOwnAnswersAndTruthfulRunOutcomes() {
    endpoints.get(0).setFaults(lostAnswers(5));
    endpoints.get(1).stop();
    Map<Integer, CompletableFuture<CallResult>> results = new HashMap<>();
    for (int index = 0; index < CALL_COUNT; index++) {
      results.put(index, call(index));
    }
    service.stop().join();

    Map<String, Long> executions = new HashMap<>();
    endpoints.forEach(
        endpoint ->
            endpoint.counts().executions().forEach((id, n) -> executions.merge(id, n, Long::sum)));
    int answeredCount = 0;
    for (int index = 0; index < CALL_COUNT; index++) {
      String id = idsByIndex.get(index);
      long count = executions.getOrDefault(id, 0L);
      CallResult result = results.get(index).join();
      assertThat(result instanceof Refused refused && refused.kind() == RefusalKind.STOPPING)
          .as("refusal of a call that came in before the stop")
          .isFalse();
      switch (result) {
        case Answered answered -> {
          assertThat(new String(answered.body())).isEqualTo(id);
          assertThat(count).isPositive();
          answeredCount++;
        }
        case Refused refused when refused.ran() == RunOutcome.NOT_RUN -> assertThat(count).isZero();
        case Refused refused -> assertThat(refused.ran()).isEqualTo(RunOutcome.UNKNOWN);
      }
      assertThat(index % 2 == 0 || count <= 1).as("runs of %s", id).isTrue();
    }
    assertThat(answeredCount).as("calls answered by the endpoint without faults").isPositive();
    assertThat(executions.keySet())
        .as("calls that are not repeatable")
        .anyMatch(
            id ->
                idsByIndex.entrySet().stream()
                    .anyMatch(e -> e.getKey() % 2 == 1 && e.getValue().equals(id)));
  }

  @Example
  void leavingEndpointsGetNoCallAndStoppedServiceRefuses() {
    call(0).join();
    endpoints.forEach(
        endpoint ->
            endpoint.setFaults(
                new Faults(false, 0, 0, false, null, null, false, false, true, false, null)));
    announce();

    assertThat(call(1).join().toString()).contains("NOT_RUN");
    assertThat(endpoints).allMatch(endpoint -> endpoint.counts().startedWhileLeaving() == 0);
    service.stop().join();
    assertThat(((Refused) call(2).join()).ran()).isEqualTo(RunOutcome.NOT_RUN);
    eventLoop.stop();
    assertThat(((Refused) call(3).join()).ran()).isEqualTo(RunOutcome.NOT_RUN);
  }
}
