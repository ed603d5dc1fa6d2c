package org.cicadaford.entry.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.Example;
import org.cicadaford.decision.ZoneApplyResult;
import org.cicadaford.decision.ZoneState;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.JobState;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskEnd;
import org.cicadaford.model.TaskId;
import org.cicadaford.model.Urgency;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneChange.JobAdmitted;
import org.cicadaford.model.ZoneChange.JobClosed;
import org.cicadaford.model.ZoneChange.TaskEnded;
import org.cicadaford.model.ZoneChange.TaskPlaced;
import org.cicadaford.model.ZoneChange.WorkerListed;
import org.cicadaford.model.ZoneRecord.OwnerBatch;
import org.cicadaford.model.ZoneRecord.OwnerClaimed;

/** Guards against counting changes without effect, and against uncounted missed deadlines. */
class ServiceLevelCounterTest {

  private static final Resources SIZE = new Resources(1_000, 1, 0);

  private static JobAdmitted job(String id) {
    JobDescription description =
        new JobDescription(
            id,
            "t",
            JobKind.BATCH,
            "q",
            Urgency.NORMAL,
            SIZE,
            1,
            List.of(),
            0,
            500,
            0,
            false,
            false,
            "echo a");
    return new JobAdmitted(id, description, List.of(0), 1_000);
  }

  @Example
  void onlyChangesThatTookEffectAreCounted() throws IOException {
    List<ZoneChange> changes =
        List.of(
            new WorkerListed("w", "r", SIZE),
            job("a"),
            job("b"),
            job("c"),
            new TaskPlaced(new TaskId("a", 0), 1, "w", SIZE, 1_100),
            new TaskEnded(new TaskId("a", 0), 1, TaskEnd.COMPLETED, "", 1_200),
            new TaskEnded(new TaskId("a", 0), 1, TaskEnd.LOST, "", 1_300),
            new JobClosed("a", JobState.COMPLETED, "", 1_500),
            new JobClosed("a", JobState.FAILED, "", 1_500),
            new JobClosed("b", JobState.COMPLETED, "", 1_501),
            new JobClosed("c", JobState.CANCELLED, "", 1_100));
    ZoneState state = new ZoneState();
    state.apply(0, new OwnerClaimed("claim", "i", 1_000));
    ZoneApplyResult.Applied applied =
        (ZoneApplyResult.Applied) state.apply(1, new OwnerBatch("b", 0, 1, 1_600, 0, 0, changes));
    EntryMetrics metrics = new EntryMetrics();

    ServiceLevelCounter.count(changes, applied.rejectedChanges(), state, metrics);

    ByteArrayOutputStream text = new ByteArrayOutputStream();
    PrometheusTextFormatWriter.create().write(text, metrics.registry().scrape());
    assertThat(text.toString(StandardCharsets.UTF_8).lines())
        .filteredOn(line -> line.matches("cicadaford_(tasks_ended|deadline_jobs)_total.*"))
        .containsExactlyInAnyOrder(
            "cicadaford_tasks_ended_total{end=\"completed\",team=\"t\"} 1.0",
            "cicadaford_deadline_jobs_total{outcome=\"in-time\",team=\"t\"} 1.0",
            "cicadaford_deadline_jobs_total{outcome=\"missed\",team=\"t\"} 1.0");
  }
}
