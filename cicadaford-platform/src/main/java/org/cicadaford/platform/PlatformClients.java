package org.cicadaford.platform;

import org.cicadaford.platform.internal.HttpEndpointService;
import org.cicadaford.platform.internal.HttpLogService;
import org.cicadaford.platform.internal.HttpMembershipService;
import org.cicadaford.platform.internal.HttpSender;
import org.cicadaford.platform.internal.HttpWorkerService;

/**
 * Creates the HTTP clients of the platform services, which share one HTTP client with two threads.
 *
 * <p>Futures complete on these threads, so their dependent stages must not block.
 */
public final class PlatformClients {

  private final HttpSender sender;
  private final LogService logService;
  private final MembershipService membershipService;
  private final WorkerService workerService;
  private final EndpointService endpointService;

  /** Creates the clients; they connect on first use. */
  public PlatformClients(PlatformSettings settings) {
    this.sender = new HttpSender(settings);
    this.logService = new HttpLogService(sender, settings);
    this.membershipService = new HttpMembershipService(sender, settings);
    this.workerService = new HttpWorkerService(sender, settings);
    this.endpointService = new HttpEndpointService(sender, settings);
  }

  /** Starts the client threads. */
  public void start() {
    sender.start();
  }

  /** Closes all connections; requests in progress fail. */
  public void stop() {
    sender.stop();
  }

  /** Returns the client of the log. */
  public LogService logService() {
    return logService;
  }

  /** Returns the client of the membership list. */
  public MembershipService membershipService() {
    return membershipService;
  }

  /** Returns the client of workers. */
  public WorkerService workerService() {
    return workerService;
  }

  /** Returns the client of endpoints. */
  public EndpointService endpointService() {
    return endpointService;
  }
}
