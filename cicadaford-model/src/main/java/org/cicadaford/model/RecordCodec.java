package org.cicadaford.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes and decodes records as MessagePack. */
public final class RecordCodec {

  private static final ObjectMapper MAPPER =
      new ObjectMapper(new MessagePackFactory())
          .setSerializationInclusion(JsonInclude.Include.NON_NULL)
          .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  private RecordCodec() {}

  /** Encodes {@code value} as MessagePack. */
  public static byte[] encode(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new IllegalArgumentException(
          "type cannot be encoded: " + value.getClass().getName(), e);
    }
  }

  /**
   * Decodes a value of {@code type}.
   *
   * @throws MalformedRecordException if {@code content} is not a value of {@code type}
   */
  public static <T> T decode(byte[] content, Class<T> type) throws MalformedRecordException {
    try {
      checkLengths(content);
      T value = MAPPER.readValue(content, type);
      if (value == null) {
        throw new MalformedRecordException(type, null);
      }
      return value;
    } catch (IOException | MessagePackException e) {
      // The unpacker throws unchecked exceptions for some malformed content.
      throw new MalformedRecordException(type, e);
    }
  }

  /**
   * Checks that no encoded length exceeds the content. Decoding allocates memory by these lengths,
   * so a corrupted one could exhaust the heap.
   *
   * @throws IOException if a length exceeds the content
   */
  public static void checkLengths(byte[] content) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(content)) {
      unpacker.skipValue();
    }
  }
}
