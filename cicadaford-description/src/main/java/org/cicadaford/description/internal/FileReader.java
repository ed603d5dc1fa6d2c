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
public final class FileReader {

  private static final List<String> TOP_LEVEL = List.of(Fields.JOBS, Fields.TEAMS, Fields.QUEUES);

  private final String file;
  private final FileContent content;
  private final ErrorList errors;

  /** Creates a reader that adds to {@code content} what it reads, and to {@code errors} faults. */
  public FileReader(String file, FileContent content, ErrorList errors) {
    this.file = file;
    this.content = content;
    this.errors = errors;
  }

  /** Reads the bytes of the file. */
  public void read(byte[] bytes) {
    Optional<MappingNode> root = YamlComposer.compose(file, bytes, errors);
    if (root.isEmpty()) {
      return;
    }
    MappingReader reader = new MappingReader(file, "", root.get(), TOP_LEVEL, errors);
    readList(reader, Fields.JOBS, Fields.OF_JOB, this::readJob);
    readList(reader, Fields.TEAMS, Fields.OF_TEAM, this::readTeam);
    readList(reader, Fields.QUEUES, Fields.OF_QUEUE, this::readQueue);
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
          "expected a list, found " + Scalars.kindOf(node),
          "start each entry on its own line with \"- name:\"");
      return;
    }
    List<String> known = specs.stream().map(FieldSpec::name).toList();
    for (int i = 0; i < sequence.getValue().size(); i++) {
      String path = key + "[" + i + "]";
      Node item = sequence.getValue().get(i);
      if (item instanceof MappingNode mapping) {
        reader.read(new MappingReader(file, path, mapping, known, errors));
      } else {
        errors.add(
            Position.of(file, item),
            path,
            "expected fields, found " + Scalars.kindOf(item),
            "write \"- name: ...\" and the other fields below it");
      }
    }
  }

  private void readTeam(MappingReader fields) {
    String name = fields.get(Fields.NAME);
    Integer share = fields.get(Fields.SHARE);
    Long quotaMillicores = fields.get(Fields.QUOTA);
    if (!fields.failed()) {
      content.teams.add(new Located<>(new TeamPolicy(name, share, quotaMillicores), fields));
    } else if (name != null) {
      content.teamsWithErrors.add(name);
    }
  }

  private void readQueue(MappingReader fields) {
    String name = fields.get(Fields.NAME);
    Boolean openToAll = fields.get(Fields.OPEN_TO_ALL);
    if (!fields.failed()) {
      content.queues.add(new Located<>(new QueuePolicy(name, openToAll), fields));
    } else if (name != null) {
      content.queuesWithErrors.add(name);
    }
  }

  private void readJob(MappingReader fields) {
    var name = fields.get(Fields.NAME);
    var team = fields.get(Fields.TEAM);
    var kind = fields.get(Fields.KIND);
    var queue = fields.get(Fields.QUEUE);
    var urgency = fields.get(Fields.URGENCY);
    var processorsMillicores = fields.get(Fields.PROCESSORS);
    var memoryMebibytes = fields.get(Fields.MEMORY);
    var acceleratorCount = fields.get(Fields.ACCELERATORS);
    var taskCount = fields.get(Fields.TASKS);
    var zones = fields.get(Fields.ZONES);
    var maxTasksPerRack = fields.get(Fields.SPREAD);
    var deadlineMillis = fields.get(Fields.DEADLINE);
    var expectedRunMillis = fields.get(Fields.EXPECTED_RUN);
    var checkpointable = fields.get(Fields.CHECKPOINT);
    var repeatable = fields.get(Fields.REPEATABLE);
    var program = fields.get(Fields.PROGRAM);
    if (fields.failed()) {
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
    content.jobs.add(new Located<>(job, fields));
  }
}
