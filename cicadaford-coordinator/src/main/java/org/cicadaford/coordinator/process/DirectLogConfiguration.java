package org.cicadaford.coordinator.process;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.LoggerConfig;

/** Log configuration of the daemon: JSON lines to standard output through a bounded buffer. */
final class DirectLogConfiguration extends AbstractConfiguration {

  /** Lines that wait to be written; further ones are dropped, so that logging never blocks. */
  private static final int BUFFERED_LINES = 2_048;

  private static final String CONSOLE = "stdout";

  DirectLogConfiguration(LoggerContext context) {
    super(context, ConfigurationSource.NULL_SOURCE);
  }

  @Override
  public void initialize() {
    ConsoleAppender console =
        ConsoleAppender.newBuilder()
            .setName(CONSOLE)
            .setLayout(new JsonLineLayout(this))
            .setConfiguration(this)
            .build();
    addAppender(console);
    console.start();
    AsyncAppender bounded =
        AsyncAppender.newBuilder()
            .setName("bounded")
            .setBlocking(false)
            .setBufferSize(BUFFERED_LINES)
            .setAppenderRefs(
                new AppenderRef[] {AppenderRef.createAppenderRef(CONSOLE, Level.ALL, null)})
            .setConfiguration(this)
            .build();
    addAppender(bounded);
    bounded.start();
    LoggerConfig root = getRootLogger();
    root.setLevel(Level.WARN);
    root.addAppender(bounded, Level.ALL, null);
    addLogger("org.cicadaford", new LoggerConfig("org.cicadaford", Level.INFO, true));
    setState(State.INITIALIZED);
  }
}
