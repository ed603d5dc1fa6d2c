package org.cicadaford.cli.internal.command;

import java.io.InputStream;
import java.security.SecureRandom;
import java.util.function.LongSupplier;
import org.cicadaford.cli.internal.config.Pause;
import org.cicadaford.cli.internal.entry.EntryConnector;

/**
 * Holds what commands need from outside the process.
 *
 * @param logConnector opens the log
 * @param entryConnector opens entry daemons
 * @param random source of keys
 * @param clock present time in milliseconds
 * @param pause waits between attempts
 * @param input where keys are read from
 */
public record Environment(
    LogConnector logConnector,
    EntryConnector entryConnector,
    SecureRandom random,
    LongSupplier clock,
    Pause pause,
    InputStream input) {}
