package org.cicadaford.cli.internal.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import net.jqwik.api.Example;
import org.cicadaford.cli.FakeLog;
import org.cicadaford.decision.ConfigState;
import org.cicadaford.model.ConfigRecord.ConfigPublished;
import org.cicadaford.model.ConfigRecord.KeyGranted;
import org.cicadaford.model.ConfigRecord.ZoneTakenOut;
import org.cicadaford.model.QueuePolicy;
import org.cicadaford.platform.LogEntry;

/** Guards against decisions based on a configuration with missing records. */
class ConfigStreamTest {

  private final FakeLog log = new FakeLog();
  private final ConfigStream stream = new ConfigStream(log, millis -> {}, () -> 0);

  private void publish(String queue, long baseVersion) {
    log.add(
        new ConfigPublished(
            "p" + queue,
            baseVersion,
            List.of(),
            List.of(),
            List.of(new QueuePolicy(queue, false)),
            List.of(),
            List.of(),
            List.of()));
  }

  private void snapshot() throws CommandException {
    log.add(new ConfigStream(log, millis -> {}, () -> 0).readToEnd().snapshot("s"));
  }

  @Example
  void emptyStreamIsAnEmptyConfiguration() throws CommandException {
    assertThat(stream.readToEnd().publishVersion()).isEqualTo(ConfigState.NO_OFFSET);
  }

  @Example
  void readerStartsFromTheSnapshotWhereRecordsHaveExpired() throws CommandException {
    publish("a", -1);
    snapshot();
    log.add(new ZoneTakenOut("z", "Kolkata", -1));
    log.earliestOffset = 1;

    ConfigState state = stream.readToEnd();

    assertThat(state.isComplete()).isTrue();
    assertThat(state.queue("a")).isPresent();
    assertThat(state.isZoneTakenOut("Kolkata")).isTrue();
  }

  @Example
  void logWithoutASnapshotIsRefused() {
    publish("a", -1);
    log.add(new ZoneTakenOut("z", "Kolkata", -1));
    log.earliestOffset = 1;

    assertThatThrownBy(stream::readToEnd)
        .isInstanceOf(CommandException.class)
        .hasMessageContaining("has no snapshot");
  }

  @Example
  void recordsThatExpireWhileReadingAreNotSkipped() throws CommandException {
    publish("a", -1);
    stream.readToEnd();
    publish("b", 0);
    snapshot();
    log.earliestOffset = 2;

    assertThat(stream.readToEnd().queue("b")).isPresent();
  }

  @Example
  void readWithoutAnAnswerIsRepeatedButNotForever() throws CommandException {
    publish("a", -1);
    log.failedReads = 2;
    assertThat(stream.readToEnd().queue("a")).isPresent();

    log.failedReads = 3;
    assertThatThrownBy(stream::readToEnd)
        .isInstanceOf(CommandException.class)
        .hasMessageContaining("nothing was changed");
  }

  @Example
  void malformedRecordHasNoEffect() throws CommandException {
    publish("a", -1);
    log.entries.add(new LogEntry(1, new byte[] {1, 2, 3}));
    publish("b", 0);

    assertThat(stream.readToEnd().queue("b")).isPresent();
  }

  @Example
  void appendReturnsTheOffsetAtWhichTheRecordTookEffect() throws CommandException {
    publish("a", -1);

    assertThat(stream.append(new KeyGranted("k", "hash", "team"))).isEqualTo(1);
    assertThat(stream.find("k")).hasValueSatisfying(f -> assertThat(f.offset()).isEqualTo(1));
  }
}
