package org.cicadaford.cli.internal.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cicadaford.cli.internal.command.LogConnector.OpenLog;
import org.cicadaford.cli.internal.config.CommandException;
import org.cicadaford.decision.ConfigState;
import org.cicadaford.model.ConfigRecord.ConfigSnapshot;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.QueuePolicy;
import org.cicadaford.model.TeamPolicy;
import picocli.CommandLine.Command;

/** Shows the configuration in force. */
@Command(name = "show", description = "Shows the configuration in force.")
final class ConfigShowCommand extends SessionCommand {

  ConfigShowCommand(Session session) {
    super(session);
  }

  @Override
  CommandResult execute() throws CommandException {
    try (OpenLog open = session().openLog()) {
      ConfigState state = configStream(open).readToEnd();
      ConfigSnapshot all = state.snapshot("show");
      return CommandResult.ok(
          lines(all),
          "offset",
          all.asOfOffset(),
          "publishVersion",
          all.publishVersion(),
          "teams",
          all.teams(),
          "queues",
          all.queues(),
          "jobs",
          all.descriptions(),
          "teamByKeyHash",
          all.teamByKeyHash(),
          "zonesOut",
          all.zonesOut(),
          "zoneVersions",
          all.zoneVersions(),
          "allotmentMillicores",
          all.allotments());
    }
  }

  private static List<String> lines(ConfigSnapshot all) {
    List<String> lines = new ArrayList<>();
    lines.add("version %d, offset %d".formatted(all.publishVersion(), all.asOfOffset()));
    for (TeamPolicy team : all.teams()) {
      lines.add(
          "team %s: share %d, quota %d millicores, allotments %s"
              .formatted(
                  team.name(),
                  team.shareWeight(),
                  team.limitMillicores(),
                  all.allotments().getOrDefault(team.name(), Map.of())));
    }
    for (QueuePolicy queue : all.queues()) {
      lines.add("queue " + queue.name() + (queue.openToAll() ? ": open to all" : ""));
    }
    all.descriptions().forEach(job -> lines.add(line(job)));
    all.teamByKeyHash().forEach((hash, team) -> lines.add("key " + hash + " of team " + team));
    all.zoneVersions()
        .forEach(
            (zone, version) ->
                lines.add(
                    "zone %s: %s since version %d"
                        .formatted(zone, all.zonesOut().contains(zone) ? "out" : "in", version)));
    return lines;
  }

  private static String line(JobDescription job) {
    return "%s %s: team %s, queue %s, %s, %d tasks of %d millicores and %d MiB"
        .formatted(
            job.kind().name().toLowerCase(Locale.ROOT),
            job.name(),
            job.team(),
            job.queue(),
            job.urgency().name().toLowerCase(Locale.ROOT),
            job.taskCount(),
            job.resourcesPerTask().processorsMillicores(),
            job.resourcesPerTask().memoryMebibytes());
  }
}
