package org.cicadaford.cli.internal.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cicadaford.cli.CommandRunner;
import org.cicadaford.cli.CommandRunner.Outcome;
import org.cicadaford.cli.FakeLog.Fault;
import org.cicadaford.model.ConfigRecord.ConfigPublished;
import org.cicadaford.model.QueuePolicy;

/** Guards against publishes that take effect in part, twice, over another one, or unnoticed. */
class PublishCommandTest {

  private final CommandRunner runner = new CommandRunner();
  private final String directory = directory(CommandRunner.describing("prizes"));

  private static String directory(String text) {
    return CommandRunner.directoryWith(text).toString();
  }

  private long publishOfAnother(long baseVersion) {
    return runner.log.add(
        new ConfigPublished(
            "other",
            baseVersion,
            List.of(),
            List.of(),
            List.of(new QueuePolicy("other", true)),
            List.of(),
            List.of(),
            List.of()));
  }

  @Example
  void oneRecordHoldsTheWholeDifference() {
    Outcome first = runner.run("publish", directory);
    Outcome second = runner.run("publish", directory);
    Outcome third =
        runner.run("publish", directory(CommandRunner.describing("prizes", "settlement")));

    assertThat(first.exitCode()).isZero();
    assertThat(first.out())
        .contains("+ team counters", "+ queue counter", "+ job prizes", "version 0 is in force");
    assertThat(second.out()).contains("Nothing to change; version 0");
    assertThat(third.out()).contains("+ job settlement", "version 1").doesNotContain("prizes");
    assertThat(runner.log.entries).hasSize(2);
  }

  @Example
  void oneFaultyFileRefusesAll() {
    Outcome outcome = runner.run("publish", directory, directory("jobs: [{name: A}]"));

    assertThat(outcome.exitCode()).isEqualTo(1);
    assertThat(outcome.err()).contains("\"A\" is not a name", "errors: 7");
    assertThat(runner.log.entries).isEmpty();
  }

  @Example
  void dryRunPublishesNothing() {
    Outcome outcome = runner.run("publish", "--dry-run", "--output=json", directory);

    assertThat(outcome.exitCode()).isZero();
    assertThat(outcome.out()).contains("\"published\" : false", "\"added\" : [ \"prizes\" ]");
    assertThat(runner.log.entries).isEmpty();
  }

  @Example
  void directoryLeftOutByMistakeRemovesNothing() {
    runner.run("publish", directory(CommandRunner.describing("prizes", "settlement")));

    assertThat(runner.run("publish", directory).exitCode()).isEqualTo(1);
    assertThat(runner.log.entries).hasSize(1);
    Outcome allowed = runner.run("publish", "--remove-missing", directory);
    assertThat(allowed.out()).contains("- job settlement", "version 1 is in force");
  }

  @Example
  void secondOfTwoPublishesIsRefusedWithTheVersionToRebaseOn() {
    runner.log.beforeAppend = () -> publishOfAnother(-1);

    Outcome outcome = runner.run("publish", directory);

    assertThat(outcome.exitCode()).isEqualTo(1);
    assertThat(outcome.err()).contains("nothing was published", "rebase on version 0");
    assertThat(runner.run("config", "show").out()).contains("queue other").doesNotContain("prizes");
  }

  @Example
  void publishFromAnOldVersionIsRefused() {
    publishOfAnother(-1);

    Outcome outcome = runner.run("publish", "--base-version=-1", directory);

    assertThat(outcome.exitCode()).isEqualTo(1);
    assertThat(outcome.err()).contains("rebase on version 0");
    assertThat(runner.log.entries).hasSize(1);
  }

  @Example
  void lostAnswerOfAPublishThatTookEffectIsSettledByReadingBack() {
    runner.log.fault = Fault.ANSWER_LOST;
    runner.log.failedReadsAfterAppend = 3;

    Outcome outcome = runner.run("publish", directory);

    assertThat(outcome.exitCode()).isZero();
    assertThat(outcome.err()).contains("the answer was lost");
    assertThat(outcome.out()).contains("version 0 is in force");
    assertThat(runner.log.entries).hasSize(1);
  }

  @Example
  void lostAnswerOfAPublishThatLostTheRaceIsARefusal() {
    runner.log.fault = Fault.ANSWER_LOST;
    runner.log.beforeAppend = () -> publishOfAnother(-1);

    assertThat(runner.run("publish", directory).exitCode()).isEqualTo(1);
  }

  @Example
  void publishThatCannotBeFoundIsReportedAsUnknownWithTheCheck() {
    runner.log.fault = Fault.REQUEST_LOST;

    Outcome outcome = runner.run("publish", directory);

    assertThat(outcome.exitCode()).isEqualTo(4);
    assertThat(outcome.err()).contains("check with: cicadaford config record ");
    String recordId = outcome.err().strip().replaceAll("(?s).* ", "");
    assertThat(runner.run("config", "record", recordId).exitCode()).isEqualTo(4);
    publishOfAnother(-1);
    assertThat(runner.run("config", "record", "other").out()).contains("offset 0");
  }

  @Example
  void unreachableLogIsToldApartFromARefusal() {
    runner.log.fault = Fault.UNAVAILABLE;

    Outcome outcome = runner.run("publish", "--output=json", directory);

    assertThat(outcome.exitCode()).isEqualTo(3);
    assertThat(outcome.err()).contains("\"error\" : \"unreachable\"", "nothing was changed");
  }

  @Example
  void missingDirectoryAndBadFlagsAreUsageErrors() {
    assertThat(runner.run("publish").exitCode()).isEqualTo(2);
    assertThat(runner.run("publish", "--nonsense", directory).exitCode()).isEqualTo(2);
    assertThat(runner.run("config").exitCode()).isEqualTo(2);
    assertThat(runner.run("config", "show", "--log=host").exitCode()).isEqualTo(2);
  }
}
