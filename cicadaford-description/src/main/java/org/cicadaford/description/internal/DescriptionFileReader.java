package org.cicadaford.description.internal;

import java.util.List;
import java.util.Optional;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.QueuePolicy;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TeamPolicy;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.SequenceNode;

/** Reads the entries of one description file. */
public final class DescriptionFileReader {

  private static final List<String> TOP_LEVEL_KEYS =
      List.of(FieldSpecs.JOBS, FieldSpecs.TEAMS, FieldSpecs.QUEUES);

  private final String file;
  private final DescriptionEntries entries;
  private final ErrorList errors;

  /** Creates a reader that adds entries to {@code entries} and errors to {@code errors}. */
  public DescriptionFileReader(String file, DescriptionEntries entries, ErrorList errors) {
    this.file = file;
    this.entries = entries;
    this.errors = errors;
  }

  /** Reads the entries from the bytes of the file. */
  public void read(byte[] bytes) {
    Optional<MappingNode> root = YamlComposer.compose(file, bytes, errors);
    if (root.isEmpty()) {
      return;
    }
    MappingReader reader = new MappingReader(file, "", root.get(), TOP_LEVEL_KEYS, errors);
    readList(reader, FieldSpecs.JOBS, FieldSpecs.OF_JOB, this::readJob);
    readList(reader, FieldSpecs.TEAMS, FieldSpecs.OF_TEAM, this::readTeam);
    readList(reader, FieldSpecs.QUEUES, FieldSpecs.OF_QUEUE, this::readQueue);
  }

  private interface EntryReader {
    void read(MappingReader fields);
  }

  private void readList(
      MappingReader root, String key, List<FieldSpec<?>> specs, EntryReader reader) {
    Node node = root.node(key);
    if (node == null) {
      return;
    }
    if (!(node instanceof SequenceNode sequence)) {
      errors.add(
          Position.of(file, node),
          key,
          "expected a list, found " + ScalarParser.kindOf(node),
          "start each entry on its own line with \"- name:\"");
      return;
    }
    List<String> knownFields = specs.stream().map(FieldSpec::name).toList();
    for (int i = 0; i < sequence.getValue().size(); i++) {
      String path = key + "[" + i + "]";
      Node item = sequence.getValue().get(i);
      if (item instanceof MappingNode mapping) {
        reader.read(new MappingReader(file, path, mapping, knownFields, errors));
      } else {
        errors.add(
            Position.of(file, item),
            path,
            "expected fields, found " + ScalarParser.kindOf(item),
            "write \"- name: ...\" and the other fields below it");
      }
    }
  }

  private void readTeam(MappingReader fields) {
    String name = fields.get(FieldSpecs.NAME);
    Integer share = fields.get(FieldSpecs.SHARE);
    Long quotaMillicores = fields.get(FieldSpecs.QUOTA);
    if (!fields.hasErrors()) {
      entries.teams.add(new LocatedEntry<>(new TeamPolicy(name, share, quotaMillicores), fields));
    } else if (name != null) {
      entries.teamsWithErrors.add(name);
    }
  }

  private void readQueue(MappingReader fields) {
    String name = fields.get(FieldSpecs.NAME);
    Boolean openToAll = fields.get(FieldSpecs.OPEN_TO_ALL);
    if (!fields.hasErrors()) {
      entries.queues.add(new LocatedEntry<>(new QueuePolicy(name, openToAll), fields));
    } else if (name != null) {
      entries.queuesWithErrors.add(name);
    }
  }

  private void readJob(MappingReader fields) {
    var name = fields.get(FieldSpecs.NAME);
    var team = fields.get(FieldSpecs.TEAM);
    var kind = fields.get(FieldSpecs.KIND);
    var queue = fields.get(FieldSpecs.QUEUE);
    var urgency = fields.get(FieldSpecs.URGENCY);
    var processorsMillicores = fields.get(FieldSpecs.PROCESSORS);
    var memoryMebibytes = fields.get(FieldSpecs.MEMORY);
    var acceleratorCount = fields.get(FieldSpecs.ACCELERATORS);
    var taskCount = fields.get(FieldSpecs.TASKS);
    var zones = fields.get(FieldSpecs.ZONES);
    var maxTasksPerRack = fields.get(FieldSpecs.SPREAD);
    var deadlineMillis = fields.get(FieldSpecs.DEADLINE);
    var expectedRunMillis = fields.get(FieldSpecs.EXPECTED_RUN);
    var checkpointable = fields.get(FieldSpecs.CHECKPOINT);
    var repeatable = fields.get(FieldSpecs.REPEATABLE);
    var program = fields.get(FieldSpecs.PROGRAM);
    if (fields.hasErrors()) {
      return;
    }
    JobDescription job =
        new JobDescription(
            name,
            team,
            kind,
            queue,
            urgency,
            new Resources(processorsMillicores, memoryMebibytes, acceleratorCount),
            taskCount,
            zones,
            maxTasksPerRack,
            deadlineMillis,
            expectedRunMillis,
            checkpointable,
            repeatable,
            program);
    entries.jobs.add(new LocatedEntry<>(job, fields));
  }
}
