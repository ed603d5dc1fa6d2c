package org.cicadaford.cli.internal.command;

import picocli.CommandLine.Command;

/** Groups the commands for teams' keys. */
@Command(name = "key", description = "Grants and withdraws teams' keys.")
final class KeyCommand {}
