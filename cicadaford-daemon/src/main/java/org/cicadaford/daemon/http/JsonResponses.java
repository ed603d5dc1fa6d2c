package org.cicadaford.daemon.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import org.cicadaford.entry.Refusal;
import org.cicadaford.model.RunOutcome;

/** Creates HTTP responses with JSON bodies. */
final class JsonResponses {

  static final ObjectMapper JSON =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
          .serializationInclusion(JsonInclude.Include.NON_NULL)
          .build();

  private static final MediaType PROBLEM_JSON = MediaType.of("application/problem+json");

  /** Problem details of a refusal, as RFC 9457 defines them. */
  private record Problem(
      String type,
      String title,
      int status,
      String detail,
      RunOutcome ran,
      Long retryAfterMillis,
      String requestId) {}

  private JsonResponses() {}

  static MutableHttpResponse<byte[]> json(HttpStatus status, Object body) {
    return HttpResponse.<byte[]>status(status)
        .body(serialize(body))
        .contentType(MediaType.APPLICATION_JSON_TYPE);
  }

  static MutableHttpResponse<byte[]> problem(Refusal refusal, String requestId) {
    Problem problem =
        new Problem(
            "urn:cicadaford:problem:" + refusal.kind().wireName(),
            refusal.kind().title(),
            refusal.kind().status(),
            refusal.detail(),
            refusal.runOutcome(),
            refusal.retryAfterMillis() > 0 ? refusal.retryAfterMillis() : null,
            requestId);
    MutableHttpResponse<byte[]> response =
        HttpResponse.<byte[]>status(HttpStatus.valueOf(refusal.kind().status()))
            .body(serialize(problem))
            .contentType(PROBLEM_JSON);
    if (refusal.retryAfterMillis() > 0) {
      long seconds = Math.max(1, (refusal.retryAfterMillis() + 999) / 1_000);
      response.header("Retry-After", Long.toString(seconds));
    }
    return response;
  }

  private static byte[] serialize(Object body) {
    try {
      return JSON.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "cannot be serialized as JSON: " + body.getClass().getName(), e);
    }
  }
}
