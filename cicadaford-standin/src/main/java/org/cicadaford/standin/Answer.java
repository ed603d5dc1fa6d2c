package org.cicadaford.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.platform.PlatformRoutes;

/** An HTTP answer of a stand-in. */
record Answer(int statusCode, String contentType, byte[] body, Map<String, String> headers) {

  private static final ObjectMapper JSON = new ObjectMapper();

  static Answer empty(int statusCode) {
    return new Answer(statusCode, "text/plain", new byte[0], Map.of());
  }

  static Answer text(int statusCode, String text) {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    return new Answer(statusCode, "text/plain; charset=utf-8", body, Map.of());
  }

  static Answer messagePack(int statusCode, Object value) {
    return new Answer(statusCode, PlatformRoutes.MESSAGE_PACK, RecordCodec.encode(value), Map.of());
  }

  static Answer json(Object value) {
    try {
      return new Answer(200, "application/json", JSON.writeValueAsBytes(value), Map.of());
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot be written as JSON: " + value, e);
    }
  }
}
