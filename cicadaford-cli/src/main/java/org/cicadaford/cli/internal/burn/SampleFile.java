package org.cicadaford.cli.internal.burn;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SeekableByteChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Keeps samples in a file with one JSON object a line. */
public final class SampleFile {

  private static final Logger LOGGER = LogManager.getLogger(SampleFile.class);

  /** Shorter files are not worth the writing. */
  private static final int MIN_REWRITTEN_LINES = 100;

  private static final ObjectMapper MAPPER =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  private final Path file;

  /** Names the file, which need not exist. */
  public SampleFile(Path file) {
    this.file = file;
  }

  /**
   * Returns the samples of the last {@code keptMillis} in the order of their times, without those
   * that no window can tell apart. Rewrites the file once it could be half as long.
   */
  public List<Sample> read(long keptMillis, long nowMillis) throws IOException {
    if (!Files.exists(file)) {
      return List.of();
    }
    List<Sample> all = new ArrayList<>();
    int lineCount = 0;
    try (BufferedReader reader = Files.newBufferedReader(file)) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        lineCount++;
        Sample sample = parse(line);
        if (sample != null && sample.atMillis() >= nowMillis - keptMillis) {
          all.add(sample);
        }
      }
    }
    all.sort(Comparator.comparingLong(Sample::atMillis));
    List<Sample> kept = SampleThinner.thin(all, nowMillis);
    if (lineCount >= MIN_REWRITTEN_LINES && lineCount > 2 * kept.size()) {
      replace(kept);
    }
    return kept;
  }

  private Sample parse(String line) {
    try {
      Sample sample = MAPPER.readValue(line, Sample.class);
      if (sample.instanceId() != null && sample.zone() != null && sample.counts() != null) {
        return sample;
      }
    } catch (JsonProcessingException e) {
      LOGGER.debug("not a sample", e);
    }
    // Probably a line that was cut off by a crash of an earlier run.
    LOGGER.warn("a line of {} is not a sample and is left out", file);
    return null;
  }

  private void replace(List<Sample> samples) throws IOException {
    Path next = file.resolveSibling(file.getFileName() + ".next");
    Files.writeString(next, toLines(samples));
    Files.move(next, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  /** Adds samples at the end of the file. */
  public void append(List<Sample> samples) throws IOException {
    // A line that a crash cut off must not swallow the first of the new lines.
    String separator = endsInsideALine() ? "\n" : "";
    Files.writeString(
        file, separator + toLines(samples), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
  }

  private boolean endsInsideALine() throws IOException {
    if (!Files.exists(file) || Files.size(file) == 0) {
      return false;
    }
    try (SeekableByteChannel channel = Files.newByteChannel(file)) {
      ByteBuffer last = ByteBuffer.allocate(1);
      channel.position(channel.size() - 1).read(last);
      return last.get(0) != '\n';
    }
  }

  private static String toLines(List<Sample> samples) throws IOException {
    StringBuilder lines = new StringBuilder();
    for (Sample sample : samples) {
      lines.append(MAPPER.writeValueAsString(sample)).append('\n');
    }
    return lines.toString();
  }
}
