package org.cicadaford.cli.internal.command;

import java.util.List;
import org.cicadaford.description.DescriptionReferencePage;
import picocli.CommandLine.Command;

/** Prints the reference page of description files. */
@Command(name = "reference", description = "Prints the reference page of description files.")
final class ConfigReferenceCommand extends SessionCommand {

  ConfigReferenceCommand(Session session) {
    super(session);
  }

  @Override
  CommandResult execute() {
    String page = DescriptionReferencePage.render();
    return CommandResult.ok(List.of(page.stripTrailing()), "page", page);
  }
}
