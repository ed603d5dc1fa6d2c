package org.cicadaford.coordinator.process;

import java.net.URI;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.spi.LoggerContextFactory;

/**
 * Makes the one logger context of the daemon from {@link DirectLogConfiguration}.
 *
 * <p>Log4j's own factory looks for configuration files and loads all of its plugins, which takes
 * half of the start of a process. A restart is time without an answer for callers.
 */
public final class DirectLogContextFactory implements LoggerContextFactory {

  private final LoggerContext context;

  /** Creates the factory; Log4j calls this by reflection. */
  public DirectLogContextFactory() {
    context = new LoggerContext("cicadaford");
    context.start(new DirectLogConfiguration(context));
  }

  @Override
  public LoggerContext getContext(
      String fqcn, ClassLoader loader, Object externalContext, boolean currentContext) {
    return context;
  }

  @Override
  public LoggerContext getContext(
      String fqcn,
      ClassLoader loader,
      Object externalContext,
      boolean currentContext,
      URI configLocation,
      String name) {
    return context;
  }

  @Override
  public void removeContext(org.apache.logging.log4j.spi.LoggerContext removed) {
    // The context lasts as long as the process.
  }
}
