package org.cicadaford.cli.internal.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cicadaford.cli.ExitCode;
import org.cicadaford.cli.internal.burn.BurnCalculator;
import org.cicadaford.cli.internal.burn.BurnHtmlRenderer;
import org.cicadaford.cli.internal.burn.BurnReport;
import org.cicadaford.cli.internal.burn.BurnTextRenderer;
import org.cicadaford.cli.internal.burn.BurnWindow;
import org.cicadaford.cli.internal.burn.DefaultObjectives;
import org.cicadaford.cli.internal.burn.EventCounter;
import org.cicadaford.cli.internal.burn.Objective;
import org.cicadaford.cli.internal.burn.ObjectivesReader;
import org.cicadaford.cli.internal.burn.PrometheusTextParser;
import org.cicadaford.cli.internal.burn.Sample;
import org.cicadaford.cli.internal.burn.SampleFile;
import org.cicadaford.cli.internal.config.CommandException;
import org.cicadaford.cli.internal.entry.EntryAnswer;
import org.cicadaford.cli.internal.entry.EntryClient;
import org.cicadaford.cli.internal.entry.EntryRequest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Reports how fast the error budgets of service-level objectives are used up. */
@Command(
    name = "burn",
    description = {
      "Reports how fast the error budgets of service-level objectives are used up.",
      "Each run scrapes the entry daemons and adds to the samples file; run it about once a minute."
    })
final class ReportBurnCommand extends SessionCommand {

  private static final long SCRAPE_TIMEOUT_MILLIS = 3_000;

  @Option(
      names = "--samples",
      required = true,
      paramLabel = "FILE",
      description = "File that samples are added to and read from; created if absent.")
  private Path samplesFile;

  @Option(
      names = "--objectives",
      paramLabel = "FILE",
      description = "YAML file with objectives. Default: built-in objectives.")
  private Path objectivesFile;

  @Option(
      names = "--target",
      paramLabel = "NAME=PART",
      description = "Target of an objective, such as urgent-start=0.995.")
  private Map<String, Double> targets = new LinkedHashMap<>();

  @Option(names = "--html", paramLabel = "FILE", description = "Writes an HTML page as well.")
  private Path htmlFile;

  @Option(names = "--no-scrape", description = "Reports from the samples file only.")
  private boolean noScrape;

  ReportBurnCommand(Session session) {
    super(session);
  }

  @Override
  CommandResult execute() throws CommandException {
    List<Objective> objectives = objectives();
    long nowMillis = session().environment().clock().getAsLong();
    SampleFile file = new SampleFile(samplesFile);
    try {
      if (!noScrape) {
        file.append(scrape(objectives, nowMillis));
      }
      List<Sample> samples = file.read(BurnWindow.PERIOD.millis(), nowMillis);
      BurnReport report = BurnCalculator.report(objectives, samples, nowMillis);
      if (htmlFile != null) {
        Files.writeString(htmlFile, BurnHtmlRenderer.render(report));
      }
      return CommandResult.ok(BurnTextRenderer.render(report), "report", report);
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.REFUSED,
          "a file cannot be read or written: " + e.getMessage() + "; correct --samples or --html",
          e);
    }
  }

  private List<Objective> objectives() throws CommandException {
    List<Objective> objectives = new ArrayList<>();
    for (Objective objective : objectivesFile == null ? DefaultObjectives.list() : readFile()) {
      Double target = targets.remove(objective.name());
      if (target != null && (target <= 0 || target >= 1)) {
        throw new CommandException(
            ExitCode.USAGE, "--target " + objective.name() + " must be between 0 and 1");
      }
      objectives.add(target == null ? objective : objective.withTarget(target));
    }
    if (!targets.isEmpty()) {
      throw new CommandException(
          ExitCode.USAGE, "--target refers to unknown objectives " + targets.keySet());
    }
    return objectives;
  }

  private List<Objective> readFile() throws CommandException {
    try {
      return ObjectivesReader.read(objectivesFile.toString(), Files.readString(objectivesFile));
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.USAGE, objectivesFile + " cannot be read; correct --objectives", e);
    }
  }

  private List<Sample> scrape(List<Objective> objectives, long nowMillis) throws CommandException {
    List<Sample> samples = new ArrayList<>();
    List<URI> daemons = session().entryUris();
    for (URI daemon : daemons) {
      try {
        samples.add(scrape(daemon, objectives, nowMillis));
      } catch (CommandException e) {
        warn("warning: " + daemon + " was not scraped: " + e.getMessage());
      }
    }
    if (samples.isEmpty()) {
      throw new CommandException(
          ExitCode.UNREACHABLE,
          "no entry daemon was scraped; check --entry, or report from the file with --no-scrape");
    }
    return samples;
  }

  private Sample scrape(URI daemon, List<Objective> objectives, long nowMillis)
      throws CommandException {
    JsonNode status = EntryClient.parse(get(daemon, "/v1/status"));
    String text = get(daemon, "/metrics").text();
    return new Sample(
        nowMillis,
        status.path("instanceId").asText(daemon.getAuthority()),
        status.path("zone").path("zone").asText("unknown"),
        EventCounter.count(objectives, PrometheusTextParser.parse(text)));
  }

  private EntryAnswer get(URI daemon, String path) throws CommandException {
    EntryRequest request =
        new EntryRequest("GET", path, Map.of(), "", new byte[0], SCRAPE_TIMEOUT_MILLIS);
    return new EntryClient(List.of(daemon), session().environment().entryConnector())
        .send(request, "run the command again");
  }
}
