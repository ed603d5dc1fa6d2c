package org.cicadaford.cli.internal.command;

import java.nio.file.Path;
import java.util.List;
import org.cicadaford.cli.ExitCode;
import org.cicadaford.cli.internal.config.CommandException;
import org.cicadaford.description.DescriptionCollector;
import org.cicadaford.description.DescriptionLimits;
import org.cicadaford.description.DescriptionSet;
import org.cicadaford.description.InvalidDescriptionsException;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Holds the parameters and options that select description files. */
final class DescriptionFileOptions {

  @Parameters(
      arity = "1..*",
      paramLabel = "DIR",
      description = "Directories whose *.cicadaford.yaml files are collected.")
  private List<Path> directories;

  @Option(
      names = "--racks-per-zone",
      paramLabel = "COUNT",
      description = "Maximum number of racks in one availability zone, for the check of gang jobs.")
  private int racksPerZone = DescriptionLimits.DEFAULT.maxRacksPerZone();

  DescriptionSet collect() throws CommandException {
    try {
      return new DescriptionCollector(new DescriptionLimits(racksPerZone)).collect(directories);
    } catch (InvalidDescriptionsException e) {
      throw new CommandException(ExitCode.REFUSED, e.getMessage(), e);
    }
  }
}
