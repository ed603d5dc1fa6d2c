package org.cicadaford.cli.internal.command;

import picocli.CommandLine.Command;

/** Groups the commands that check and show the configuration. */
@Command(name = "config", description = "Checks and shows the configuration.")
final class ConfigCommand {}
