package org.cicadaford.cli.internal.burn;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Keeps samples in a file with one JSON object a line. */
public final class SampleFile {

  private static final Logger LOGGER = LogManager.getLogger(SampleFile.class);
  private static final ObjectMapper MAPPER =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  private final Path file;

  /** Names the file, which need not exist. */
  public SampleFile(Path file) {
    this.file = file;
  }

  /**
   * Returns the samples from {@code fromMillis} on in the order of their times, and rewrites the
   * file without earlier ones once half of it is older.
   */
  public List<Sample> read(long fromMillis) throws IOException {
    if (!Files.exists(file)) {
      return List.of();
    }
    List<String> lines = Files.readAllLines(file, StandardCharsets.UTF_8);
    List<Sample> kept = new ArrayList<>();
    int oldCount = 0;
    for (String line : lines) {
      Sample sample = parse(line);
      if (sample != null && sample.atMillis() >= fromMillis) {
        kept.add(sample);
      } else {
        oldCount++;
      }
    }
    if (oldCount > kept.size()) {
      replace(kept);
    }
    return kept.stream().sorted((a, b) -> Long.compare(a.atMillis(), b.atMillis())).toList();
  }

  private Sample parse(String line) {
    try {
      Sample sample = MAPPER.readValue(line, Sample.class);
      if (sample.instanceId() != null && sample.zone() != null && sample.counts() != null) {
        return sample;
      }
    } catch (JsonProcessingException e) {
      // A line that was cut off by a crash of an earlier run.
      LOGGER.warn("a line of {} is not a sample and is left out", file);
    }
    return null;
  }

  private void replace(List<Sample> samples) throws IOException {
    Path next = file.resolveSibling(file.getFileName() + ".next");
    Files.writeString(next, toLines(samples));
    Files.move(next, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  /** Adds samples at the end of the file. */
  public void append(List<Sample> samples) throws IOException {
    Files.writeString(file, toLines(samples), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
  }

  private static String toLines(List<Sample> samples) throws IOException {
    StringBuilder lines = new StringBuilder();
    for (Sample sample : samples) {
      lines.append(MAPPER.writeValueAsString(sample)).append('\n');
    }
    return lines.toString();
  }
}
