package org.cicadaford.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Writes and reads records as MessagePack. */
public final class RecordCodec {

  private static final ObjectMapper MAPPER =
      new ObjectMapper(new MessagePackFactory())
          .setSerializationInclusion(JsonInclude.Include.NON_NULL)
          .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  private RecordCodec() {}

  /** Returns {@code value} as MessagePack. */
  public static byte[] encode(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new IllegalArgumentException("not a record type: " + value.getClass().getName(), e);
    }
  }

  /**
   * Returns the value that {@code content} holds.
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
      // The unpacker reports some malformed contents by unchecked exceptions.
      throw new MalformedRecordException(type, e);
    }
  }

  /**
   * Walks over the content without copying anything. Reading allocates what a length states, and
   * one that goes beyond the content would take all memory of the process.
   *
   * @throws IOException if a length goes beyond the content
   */
  public static void checkLengths(byte[] content) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(content)) {
      unpacker.skipValue();
    }
  }
}
