package org.cicadaford.cli.internal.command;

import java.io.InputStream;
import java.security.SecureRandom;
import java.util.function.LongSupplier;
import org.cicadaford.cli.internal.config.Sleeper;
import org.cicadaford.cli.internal.entry.EntryConnector;

/**
 * Holds the external dependencies of commands.
 *
 * @param logConnector opens the log
 * @param entryConnector opens entry daemons
 * @param random source of randomness for keys and request ids
 * @param clock clock in milliseconds
 * @param sleeper waits between attempts
 * @param input stream that keys are read from
 */
public record Environment(
    LogConnector logConnector,
    EntryConnector entryConnector,
    SecureRandom random,
    LongSupplier clock,
    Sleeper sleeper,
    InputStream input) {}
