package org.cicadaford.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.UUID;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cicadaford.model.RequestRecord;
import org.cicadaford.model.RequestRecord.CallClaimed;
import org.cicadaford.model.RequestRecord.CallFinished;
import org.cicadaford.model.RunOutcome;

/** Guards against a call that runs twice because a reader has expired its claim. */
class RequestLedgerTest {

  private static final long START_MILLIS = 1_700_000_000_000L;

  private static String idCreatedAt(long millis, long number) {
    return new UUID(millis << 16 | 0x7000, 0x8000_0000_0000_0000L | number).toString();
  }

  /** Returns claims and outcomes of a few ids over several hours, some repeated or late. */
  private static List<RequestRecord> history(SplittableRandom random) {
    List<RequestRecord> records = new ArrayList<>();
    List<String> ids = new ArrayList<>();
    long nowMillis = START_MILLIS;
    for (int i = 0; i < 300; i++) {
      nowMillis += random.nextInt(40_000);
      boolean known = !ids.isEmpty() && random.nextInt(3) > 0;
      long createdAtMillis = nowMillis + 60_000 - random.nextInt(120_000);
      String id = known ? ids.get(random.nextInt(ids.size())) : idCreatedAt(createdAtMillis, i);
      ids.add(id);
      long writtenAtMillis = nowMillis - random.nextInt(random.nextInt(300_000) + 1);
      // A repeated record arrives at most 7 * 40 s after the first, which is within the window.
      int recordsBack = 1 + random.nextInt(7);
      RequestRecord repeated =
          recordsBack > records.size() ? null : records.get(records.size() - recordsBack);
      switch (random.nextInt(3)) {
        case 0 -> records.add(new CallClaimed("c" + i, id, "team", "entry", writtenAtMillis));
        case 1 -> {
          RunOutcome outcome = RunOutcome.values()[random.nextInt(3)];
          long claim = random.nextInt(records.size() + 1);
          records.add(new CallFinished("f" + i, id, claim, outcome, 200, "", new byte[0], true));
        }
        default ->
            records.add(
                repeated == null ? new CallClaimed("c", id, "t", "e", nowMillis) : repeated);
      }
    }
    return records;
  }

  @Property(seed = "31", tries = 300, edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
  void readersAgreeWheneverTheyExpireEntries(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<RequestRecord> records = history(random);
    RequestLedger retaining = new RequestLedger();
    RequestLedger expiring = new RequestLedger();
    RequestLedger late = new RequestLedger();
    int lateStart = random.nextInt(records.size());
    for (int offset = 0; offset < records.size(); offset++) {
      // This reader's clock is two hours ahead, and it expires entries before each record.
      expiring.expire(START_MILLIS + 7_200_000);
      ApplyResult result = retaining.apply(offset, records.get(offset), START_MILLIS);
      assertThat(expiring.apply(offset, records.get(offset), START_MILLIS).isAccepted())
          .isEqualTo(result.isAccepted());
      if (offset >= lateStart) {
        boolean complete = late.isComplete();
        ApplyResult lateResult = late.apply(offset, records.get(offset), START_MILLIS);
        assertThat(!complete || lateResult.isAccepted() == result.isAccepted()).isTrue();
      }
    }
  }

  @Property(seed = "32", tries = 300, edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
  void claimedRequestHasAtMostOneOutcome(@ForAll long seed) {
    List<RequestRecord> records = history(new SplittableRandom(seed));
    RequestLedger ledger = new RequestLedger();
    Map<String, Integer> openOrRun = new HashMap<>();
    Map<Long, Integer> outcomes = new HashMap<>();
    for (int offset = 0; offset < records.size(); offset++) {
      ledger.expire(START_MILLIS);
      if (!ledger.apply(offset, records.get(offset), START_MILLIS).isAccepted()) {
        continue;
      }
      if (records.get(offset) instanceof CallClaimed claim) {
        assertThat(openOrRun.merge(claim.requestId(), 1, Integer::sum)).isEqualTo(1);
      } else if (records.get(offset) instanceof CallFinished finished) {
        assertThat(outcomes.merge(finished.claimOffset(), 1, Integer::sum)).isEqualTo(1);
        if (finished.outcome() == RunOutcome.NOT_RUN) {
          openOrRun.remove(finished.requestId());
        }
      }
    }
  }
}
