package org.cicadaford.daemon.http;

import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import org.cicadaford.entry.EntryServices;
import org.cicadaford.entry.Readiness;
import org.cicadaford.entry.config.ConfigView;
import org.cicadaford.entry.zone.ZoneSummary;

/** Serves health probes, metrics and the status of this instance. */
@Controller
final class StatusController {

  private final EntryServices services;
  private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.builder().build();

  /**
   * Body of the status response.
   *
   * @param configVersion offset of the last configuration record applied
   * @param configConfirmedAtMillis time at which that version was last confirmed to be the newest
   * @param requestsNextOffset offset after the last request record read
   */
  private record InstanceStatus(
      String instanceId,
      boolean ready,
      String reason,
      long configVersion,
      long configConfirmedAtMillis,
      long requestsNextOffset,
      int requestsInProgress,
      int memberCount,
      ZoneSummary zone) {}

  StatusController(EntryServices services) {
    this.services = services;
  }

  @Get("/v1/status")
  HttpResponse<byte[]> status() {
    Readiness readiness = services.readiness();
    ConfigView config = services.config().view();
    return JsonResponses.json(
        HttpStatus.OK,
        new InstanceStatus(
            services.settings().instanceId(),
            readiness.ready(),
            readiness.reason(),
            config.version(),
            config.confirmedAtMillis(),
            services.requests().position().nextOffset(),
            services.requestLimiter().inProgressCount(),
            services.membership().current().members().size(),
            services.zoneOwner().summary()));
  }

  @Get("/health/liveness")
  HttpResponse<byte[]> liveness() {
    return JsonResponses.json(HttpStatus.OK, Map.of("status", "UP"));
  }

  @Get("/health/readiness")
  HttpResponse<byte[]> readiness() {
    Readiness readiness = services.readiness();
    return readiness.ready()
        ? JsonResponses.json(HttpStatus.OK, Map.of("status", "UP"))
        : JsonResponses.json(
            HttpStatus.SERVICE_UNAVAILABLE, Map.of("status", "DOWN", "reason", readiness.reason()));
  }

  @Get("/metrics")
  HttpResponse<byte[]> metrics() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    writer.write(out, services.metrics().registry().scrape());
    return HttpResponse.ok(out.toByteArray())
        .header("Content-Type", PrometheusTextFormatWriter.CONTENT_TYPE);
  }
}
