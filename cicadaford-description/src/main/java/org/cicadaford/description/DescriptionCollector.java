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
import org.cicadaford.description.internal.CrossChecker;
import org.cicadaford.description.internal.ErrorList;
import org.cicadaford.description.internal.FileContent;
import org.cicadaford.description.internal.FileReader;

/** Collects the description files below directories and checks them as one configuration. */
public final class DescriptionCollector {

  /** Ending of the names of description files. */
  public static final String FILE_SUFFIX = ".cicadaford.yaml";

  /** A likely misspelling of the ending; such a file would be left out without a word. */
  private static final String MISSPELT_SUFFIX = ".cicadaford.yml";

  private final DescriptionLimits limits;

  /** Creates a collector that checks against {@code limits}. */
  public DescriptionCollector(DescriptionLimits limits) {
    this.limits = limits;
  }

  /**
   * Reads all description files below {@code roots}, leaving out hidden directories. A root may
   * also be a file.
   *
   * @throws InvalidDescriptionsException with every fault of every file
   */
  public DescriptionSet collect(List<Path> roots) throws InvalidDescriptionsException {
    ErrorList errors = new ErrorList();
    FileContent content = new FileContent();
    Map<Path, Path> files = findAll(roots, errors);
    for (Path file : files.values()) {
      readFile(file, content, errors);
    }
    new CrossChecker(content, limits).check();
    List<DescriptionError> found = errors.sorted();
    if (!found.isEmpty()) {
      throw new InvalidDescriptionsException(found);
    }
    return new DescriptionSet(content.jobs(), content.teams(), content.queues(), files.size());
  }

  /** Finds each file once, even where one root lies below another. */
  private static Map<Path, Path> findAll(List<Path> roots, ErrorList errors) {
    Map<Path, Path> files = new LinkedHashMap<>();
    for (Path root : roots) {
      try {
        List<Path> found = find(root);
        for (Path file : found) {
          files.putIfAbsent(file.toRealPath(), file);
        }
        if (found.isEmpty()) {
          errors.addForFile(
              root.toString(),
              "holds no description file",
              "name files *" + FILE_SUFFIX + " or leave this directory out");
        }
      } catch (IOException | UncheckedIOException e) {
        errors.addForFile(
            root.toString(),
            "cannot be read: " + e.getMessage(),
            "name a directory that exists and that you may read");
      }
    }
    return files;
  }

  private static List<Path> find(Path root) throws IOException {
    List<Path> found = new ArrayList<>();
    try (Stream<Path> paths = Files.walk(root)) {
      paths
          .filter(path -> !isHidden(root.relativize(path)))
          .filter(path -> path.equals(root) || isDescription(path))
          .filter(Files::isRegularFile)
          .sorted()
          .forEach(found::add);
    }
    return found;
  }

  private static boolean isHidden(Path relative) {
    for (Path part : relative) {
      if (part.toString().startsWith(".")) {
        return true;
      }
    }
    return false;
  }

  private static boolean isDescription(Path path) {
    String name = path.getFileName().toString();
    return name.endsWith(FILE_SUFFIX) || name.endsWith(MISSPELT_SUFFIX);
  }

  private static void readFile(Path file, FileContent content, ErrorList errors) {
    if (file.toString().endsWith(MISSPELT_SUFFIX)) {
      errors.addForFile(
          file.toString(), "ends in " + MISSPELT_SUFFIX, "rename it to end in " + FILE_SUFFIX);
      return;
    }
    try {
      new FileReader(file.toString(), content, errors).read(Files.readAllBytes(file));
    } catch (IOException e) {
      errors.addForFile(
          file.toString(), "cannot be read: " + e.getMessage(), "check its permissions");
    }
  }
}
