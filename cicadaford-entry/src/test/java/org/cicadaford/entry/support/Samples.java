package org.cicadaford.entry.support;

import java.util.List;
import org.cicadaford.entry.EntrySettings;
import org.cicadaford.entry.job.TeamKeyVerifier;
import org.cicadaford.model.ConfigRecord.ConfigPublished;
import org.cicadaford.model.ConfigRecord.KeyGranted;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.QueuePolicy;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TeamPolicy;
import org.cicadaford.model.Urgency;

/** Provides job descriptions and settings shared by tests. */
public final class Samples {

  /** Key of team "counters". */
  public static final String KEY = "key-of-counters";

  /** Key of team "panels". */
  public static final String OTHER_KEY = "key-of-panels";

  /** Capacity of a worker. */
  public static final Resources WORKER = new Resources(8_000, 8_192, 0);

  private Samples() {}

  /** Returns a job description of team "counters". */
  public static JobDescription job(
      String name, JobKind kind, String queue, long millicores, int taskCount) {
    return new JobDescription(
        name,
        "counters",
        kind,
        queue,
        Urgency.NORMAL,
        new Resources(millicores, 64, 0),
        taskCount,
        List.of(),
        0,
        0,
        0,
        false,
        true,
        "echo done");
  }

  /** Publishes two teams, their keys and two queues in the log. */
  public static void publish(FakeLog log) {
    log.put(
        "config",
        new ConfigPublished(
            "publish",
            -1,
            List.of(job("prize-list", JobKind.BATCH, "counter", 500, 4)),
            List.of(new TeamPolicy("counters", 4, 20_000), new TeamPolicy("panels", 1, 20_000)),
            List.of(new QueuePolicy("counter", false), new QueuePolicy("trial", true)),
            List.of(),
            List.of(),
            List.of()));
    log.put("config", new KeyGranted("grant-1", TeamKeyVerifier.hash(KEY), "counters"));
    log.put("config", new KeyGranted("grant-2", TeamKeyVerifier.hash(OTHER_KEY), "panels"));
  }

  /** Returns settings of an instance in zone a. */
  public static EntrySettings settings(String instanceId) {
    return new EntrySettings("a", "rack", instanceId, 86_400_000, 180_000, 100, 5_000, 64, 20_000);
  }
}
