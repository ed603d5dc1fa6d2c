package org.cicadaford.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.platform.PlatformRoutes;

/** Holds an HTTP answer of a stand-in. */
record HttpAnswer(int statusCode, String contentType, byte[] body, Map<String, String> headers) {

  private static final ObjectMapper JSON = new ObjectMapper();

  static HttpAnswer empty(int statusCode) {
    return new HttpAnswer(statusCode, "text/plain", new byte[0], Map.of());
  }

  static HttpAnswer text(int statusCode, String text) {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    return new HttpAnswer(statusCode, "text/plain; charset=utf-8", body, Map.of());
  }

  static HttpAnswer messagePack(int statusCode, Object value) {
    return new HttpAnswer(
        statusCode, PlatformRoutes.MESSAGE_PACK, RecordCodec.encode(value), Map.of());
  }

  static HttpAnswer json(Object value) {
    try {
      return new HttpAnswer(200, "application/json", JSON.writeValueAsBytes(value), Map.of());
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot encode as JSON: " + value, e);
    }
  }
}
