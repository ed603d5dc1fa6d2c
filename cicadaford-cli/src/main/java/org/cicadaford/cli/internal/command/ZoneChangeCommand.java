package org.cicadaford.cli.internal.command;

import java.text.Normalizer;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import org.cicadaford.cli.ExitCode;
import org.cicadaford.cli.internal.command.LogConnector.OpenLog;
import org.cicadaford.cli.internal.config.CommandException;
import org.cicadaford.cli.internal.config.ConfigStream;
import org.cicadaford.decision.ConfigState;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.ConfigRecord.ZoneBroughtIn;
import org.cicadaford.model.ConfigRecord.ZoneTakenOut;
import org.cicadaford.model.JobDescription;
import org.cicadaford.platform.MembershipService;
import org.cicadaford.platform.MembershipUnavailableException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Takes a zone out of service, or returns it to service. */
@Command
abstract sealed class ZoneChangeCommand extends SessionCommand {

  @Parameters(paramLabel = "ZONE", description = "Name of the availability zone.")
  private String zone;

  @Option(
      names = "--base-version",
      paramLabel = "VERSION",
      description = {
        "Changes the zone only if its last change is this version (see config show), or -1 for"
            + " none. Default: the version that the command reads."
      })
  private Long baseVersion;

  @Option(
      names = "--even-if-unknown",
      description = {"Changes a zone that no member, published file or earlier change names."})
  private boolean evenIfUnknown;

  private final boolean out;

  private ZoneChangeCommand(Session session, boolean out) {
    super(session);
    this.out = out;
  }

  /** Takes a zone out of service. */
  @Command(
      name = "out",
      description = "Takes a zone out of service: within seconds no task starts there.")
  static final class Out extends ZoneChangeCommand {
    Out(Session session) {
      super(session, true);
    }
  }

  /** Returns a zone to service. */
  @Command(name = "in", description = "Returns a zone to service.")
  static final class In extends ZoneChangeCommand {
    In(Session session) {
      super(session, false);
    }
  }

  @Override
  CommandResult execute() throws CommandException {
    // Some terminals send accents as separate code points, but zone names are in NFC.
    zone = Normalizer.normalize(zone, Normalizer.Form.NFC);
    try (OpenLog open = session().openLog()) {
      ConfigStream stream = configStream(open);
      ConfigState state = stream.readToEnd();
      long version = state.zoneVersion(zone);
      if (baseVersion != null && baseVersion != version) {
        throw conflictError(
            state, "its last change is version " + version + ", not " + baseVersion);
      }
      if (state.isZoneTakenOut(zone) == out) {
        return result(version, false);
      }
      checkZoneIsKnown(state, open.membership());
      return change(stream, version);
    }
  }

  private CommandResult change(ConfigStream stream, long version) throws CommandException {
    String recordId = UUID.randomUUID().toString();
    ConfigRecord record =
        out
            ? new ZoneTakenOut(recordId, zone, version)
            : new ZoneBroughtIn(recordId, zone, version);
    try {
      return result(stream.append(record, this::warn), true);
    } catch (CommandException e) {
      if (e.exitCode() == ExitCode.REFUSED) {
        throw conflictError(stream.readToEnd(), e.getMessage());
      }
      throw e;
    }
  }

  private CommandException conflictError(ConfigState state, String reason) {
    return new CommandException(
        ExitCode.REFUSED,
        ("zone %s was not changed: %s. It is %s service since version %d;"
                + " agree with the other operator, then run the command again")
            .formatted(
                zone,
                reason,
                state.isZoneTakenOut(zone) ? "out of" : "in",
                state.zoneVersion(zone)));
  }

  /** Rejects unknown names, since a misspelled name would leave the intended zone unchanged. */
  private void checkZoneIsKnown(ConfigState state, MembershipService membership)
      throws CommandException {
    Set<String> known = new TreeSet<>(state.snapshot("zones").zoneVersions().keySet());
    for (JobDescription job : state.descriptions()) {
      known.addAll(job.zones());
    }
    try {
      membership.list().forEach(member -> known.add(member.zone()));
    } catch (MembershipUnavailableException e) {
      warn("warning: " + e.getMessage() + "; the name of the zone is checked without the list");
    }
    if (!evenIfUnknown && !known.contains(zone)) {
      throw new CommandException(
          ExitCode.REFUSED,
          "zone "
              + zone
              + " is not known; known zones are "
              + String.join(", ", known)
              + ". Correct the name, or use --even-if-unknown");
    }
  }

  private CommandResult result(long version, boolean changed) {
    String place = out ? "out of service" : "in service";
    String text =
        changed
            ? "Zone %s is %s; version %d.".formatted(zone, place, version)
            : "Zone %s was %s before; nothing was changed.".formatted(zone, place);
    return CommandResult.ok(
        List.of(text), "zone", zone, "out", out, "version", version, "changed", changed);
  }
}
