package org.cicadaford.cli.internal.burn;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cicadaford.cli.ExitCode;
import org.cicadaford.cli.internal.config.CommandException;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.YAMLException;

/** Reads objectives from a YAML file. */
public final class ObjectivesReader {

  private static final Set<String> FIELDS =
      Set.of("name", "meaning", "target", "good", "bad", "total");

  private final String file;

  private ObjectivesReader(String file) {
    this.file = file;
  }

  /**
   * Returns the objectives in {@code text}.
   *
   * @throws CommandException naming the invalid field and how to correct it
   */
  public static List<Objective> read(String file, String text) throws CommandException {
    LoaderOptions options = new LoaderOptions();
    options.setAllowDuplicateKeys(false);
    try {
      Object root = new Yaml(new SafeConstructor(options)).load(text);
      return new ObjectivesReader(file).objectives(root);
    } catch (YAMLException e) {
      throw new CommandException(
          ExitCode.REFUSED, file + ": not valid YAML: " + e.getMessage() + "; correct it", e);
    }
  }

  private List<Objective> objectives(Object root) throws CommandException {
    if (!(root instanceof Map<?, ?> map) || !(map.get("objectives") instanceof List<?> list)) {
      throw error("objectives", "is not a list; start the file with objectives:");
    }
    List<Objective> objectives = new ArrayList<>();
    for (Object item : list) {
      Objective objective = objective("objectives[" + objectives.size() + "]", item);
      if (objectives.stream().anyMatch(other -> other.name().equals(objective.name()))) {
        throw error("objectives", "names " + objective.name() + " twice; rename one of them");
      }
      objectives.add(objective);
    }
    return objectives;
  }

  private Objective objective(String path, Object item) throws CommandException {
    if (!(item instanceof Map<?, ?> map)) {
      throw error(path, "is not a mapping; write - name: and the other fields below it");
    }
    for (Object key : map.keySet()) {
      if (!FIELDS.contains(String.valueOf(key))) {
        throw error(path + "." + key, "is not known; known fields are " + FIELDS);
      }
    }
    if (!(map.get("name") instanceof String name) || !name.matches("[a-z0-9-]{1,63}")) {
      throw error(path + ".name", "must have 1 to 63 lower-case letters, digits and hyphens");
    }
    if (!(map.get("target") instanceof Double target) || target <= 0 || target >= 1) {
      throw error(path + ".target", "must be a number between 0 and 1, such as 0.99");
    }
    if (map.containsKey("good") == map.containsKey("bad")) {
      throw error(path, "must have either good or bad; keep one of them");
    }
    boolean countsBad = map.containsKey("bad");
    String counted = countsBad ? "bad" : "good";
    String meaning = map.get("meaning") instanceof String text ? text : name;
    return new Objective(
        name,
        meaning,
        target,
        countsBad,
        selectors(path + "." + counted, map.get(counted)),
        selectors(path + ".total", map.get("total")));
  }

  private List<MetricSelector> selectors(String path, Object value) throws CommandException {
    if (!(value instanceof List<?> list) || list.isEmpty()) {
      throw error(path, "must be a list of metrics, such as - {metric: name, labels: {kind: [a]}}");
    }
    List<MetricSelector> selectors = new ArrayList<>();
    for (Object item : list) {
      if (!(item instanceof Map<?, ?> map) || !(map.get("metric") instanceof String metric)) {
        throw error(path, "has an entry without metric; add the metric's name");
      }
      selectors.add(new MetricSelector(metric, labels(path, map.get("labels"))));
    }
    return selectors;
  }

  private Map<String, List<String>> labels(String path, Object value) throws CommandException {
    Map<String, List<String>> labels = new HashMap<>();
    if (value == null) {
      return labels;
    }
    if (!(value instanceof Map<?, ?> map)) {
      throw error(path + ".labels", "must map each label to a list of its values");
    }
    for (Map.Entry<?, ?> entry : map.entrySet()) {
      if (!(entry.getValue() instanceof List<?> values)) {
        throw error(path + ".labels." + entry.getKey(), "must be a list, such as [urgent]");
      }
      labels.put(String.valueOf(entry.getKey()), values.stream().map(String::valueOf).toList());
    }
    return labels;
  }

  private CommandException error(String path, String problem) {
    return new CommandException(ExitCode.REFUSED, file + ": " + path + " " + problem);
  }
}
