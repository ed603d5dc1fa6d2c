package org.cicadaford.cli.internal.command;

import picocli.CommandLine.Command;

/** Groups the commands for availability zones. */
@Command(
    name = "zone",
    description = "Takes availability zones out of service and returns them to service.")
final class ZoneCommand {}
