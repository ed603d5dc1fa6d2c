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

/** Stores samples in a file with one JSON object per line. */
public final class SampleFile {

  private static final Logger LOGGER = LogManager.getLogger(SampleFile.class);

  /** Minimum number of lines at which rewriting the file is worthwhile. */
  private static final int MIN_REWRITTEN_LINES = 100;

  private static final ObjectMapper MAPPER =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  private final Path file;

  /** Creates access to a file, which need not exist. */
  public SampleFile(Path file) {
    this.file = file;
  }

  /**
   * Returns the downsampled samples of the last {@code retentionMillis}, sorted by time. Rewrites
   * the file if that more than halves its length.
   */
  public List<Sample> read(long retentionMillis, long nowMillis) throws IOException {
    if (!Files.exists(file)) {
      return List.of();
    }
    List<Sample> all = new ArrayList<>();
    int lineCount = 0;
    try (BufferedReader reader = Files.newBufferedReader(file)) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        lineCount++;
        Sample sample = parse(line);
        if (sample != null && sample.atMillis() >= nowMillis - retentionMillis) {
          all.add(sample);
        }
      }
    }
    all.sort(Comparator.comparingLong(Sample::atMillis));
    List<Sample> kept = SampleDownsampler.downsample(all, nowMillis);
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
    // Such a line was probably truncated by a crash of an earlier run.
    LOGGER.warn("a line of {} is not a valid sample and is skipped", file);
    return null;
  }

  private void replace(List<Sample> samples) throws IOException {
    Path next = file.resolveSibling(file.getFileName() + ".next");
    Files.writeString(next, toLines(samples));
    Files.move(next, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  /** Appends samples to the file. */
  public void append(List<Sample> samples) throws IOException {
    // Separates a line that a crash truncated from the first new line.
    String separator = endsWithPartialLine() ? "\n" : "";
    Files.writeString(
        file, separator + toLines(samples), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
  }

  private boolean endsWithPartialLine() throws IOException {
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
