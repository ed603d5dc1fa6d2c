package org.cicadaford.cli.internal.command;

import picocli.CommandLine.Command;

/** Groups the reports. */
@Command(name = "report", description = "Reports on the cell.")
final class ReportCommand {}
