package org.cicadaford.description;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.cicadaford.description.internal.ConsistencyChecker;
import org.cicadaford.description.internal.DescriptionEntries;
import org.cicadaford.description.internal.DescriptionFileReader;
import org.cicadaford.description.internal.ErrorList;

/** Collects the description files below directories and checks them as one configuration. */
public final class DescriptionCollector {

  /** File name suffix of description files. */
  public static final String FILE_SUFFIX = ".cicadaford.yaml";

  /** A likely misspelling of the suffix; it is reported because the file would be skipped. */
  private static final String MISSPELT_SUFFIX = ".cicadaford.yml";

  private final DescriptionLimits limits;

  /** Creates a collector that checks against {@code limits}. */
  public DescriptionCollector(DescriptionLimits limits) {
    this.limits = limits;
  }

  /**
   * Reads all description files below {@code roots}, skipping hidden directories. A root may also
   * be a file.
   *
   * @throws InvalidDescriptionsException with all errors in all files
   */
  public DescriptionSet collect(List<Path> roots) throws InvalidDescriptionsException {
    ErrorList errors = new ErrorList();
    DescriptionEntries content = new DescriptionEntries();
    Map<Path, Path> files = findUniqueFiles(roots, errors);
    for (Path file : files.values()) {
      readFile(file, content, errors);
    }
    new ConsistencyChecker(content, limits).check();
    List<DescriptionError> found = errors.sorted();
    if (!found.isEmpty()) {
      throw new InvalidDescriptionsException(found);
    }
    return new DescriptionSet(content.jobs(), content.teams(), content.queues(), files.size());
  }

  /** Finds the files below all roots; a file below two roots is returned once. */
  private static Map<Path, Path> findUniqueFiles(List<Path> roots, ErrorList errors) {
    Map<Path, Path> files = new LinkedHashMap<>();
    for (Path root : roots) {
      try {
        List<Path> found = findFiles(root);
        for (Path file : found) {
          files.putIfAbsent(file.toRealPath(), file);
        }
        if (found.isEmpty()) {
          errors.addForFile(
              root.toString(),
              "contains no description file",
              "name files *" + FILE_SUFFIX + " or omit this directory");
        }
      } catch (IOException | UncheckedIOException e) {
        errors.addForFile(
            root.toString(),
            "cannot be read: " + e.getMessage(),
            "give a directory that exists and is readable");
      }
    }
    return files;
  }

  private static List<Path> findFiles(Path root) throws IOException {
    List<Path> found = new ArrayList<>();
    try (Stream<Path> paths = Files.walk(root)) {
      paths
          .filter(path -> !isHiddenPath(root.relativize(path)))
          .filter(path -> path.equals(root) || hasDescriptionSuffix(path))
          .filter(Files::isRegularFile)
          .sorted()
          .forEach(found::add);
    }
    return found;
  }

  private static boolean isHiddenPath(Path relative) {
    for (Path part : relative) {
      if (part.toString().startsWith(".")) {
        return true;
      }
    }
    return false;
  }

  private static boolean hasDescriptionSuffix(Path path) {
    String name = path.getFileName().toString();
    return name.endsWith(FILE_SUFFIX) || name.endsWith(MISSPELT_SUFFIX);
  }

  private static void readFile(Path file, DescriptionEntries content, ErrorList errors) {
    if (file.toString().endsWith(MISSPELT_SUFFIX)) {
      errors.addForFile(
          file.toString(), "ends in " + MISSPELT_SUFFIX, "rename it to end in " + FILE_SUFFIX);
      return;
    }
    try {
      new DescriptionFileReader(file.toString(), content, errors).read(Files.readAllBytes(file));
    } catch (IOException e) {
      errors.addForFile(
          file.toString(), "cannot be read: " + e.getMessage(), "check its permissions");
    }
  }
}
