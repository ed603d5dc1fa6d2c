package org.cicadaford.cli.internal.command;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cicadaford.cli.CommandRunner;
import org.cicadaford.cli.CommandRunner.Outcome;
import org.cicadaford.cli.FakeLog.Fault;

/** Guards against keys that leak, are granted to nobody, or keep working after a withdrawal. */
class KeyCommandTest {

  private final CommandRunner runner = new CommandRunner();

  KeyCommandTest() {
    runner.run("publish", CommandRunner.directoryWith(CommandRunner.describing("a")).toString());
  }

  private static String field(String out, String name) {
    return out.lines()
        .filter(line -> line.startsWith(name + ": "))
        .map(line -> line.substring(name.length() + 2))
        .findFirst()
        .orElseThrow();
  }

  @Example
  void keyIsShownOnceAndNeverRecordedInClear() {
    Outcome outcome = runner.run("key", "grant", "--team=counters");
    String key = field(outcome.out(), "key");

    assertThat(key).hasSizeGreaterThan(40);
    assertThat(runner.log.text()).doesNotContain(key).contains(field(outcome.out(), "sha256"));
    assertThat(runner.run("config", "show").out())
        .doesNotContain(key)
        .contains("key " + field(outcome.out(), "sha256") + " of team counters");
    assertThat(field(runner.run("key", "grant", "--team=counters").out(), "key")).isNotEqualTo(key);
  }

  @Example
  void keyForAnUnknownTeamIsRefused() {
    assertThat(runner.run("key", "grant", "--team=conters").exitCode()).isEqualTo(1);
    assertThat(runner.log.entries).hasSize(1);
  }

  @Example
  void keyWithUnknownOutcomeIsNotShown() {
    runner.log.fault = Fault.REQUEST_LOST;

    Outcome outcome = runner.run("key", "grant", "--team=counters");

    assertThat(outcome.exitCode()).isEqualTo(4);
    assertThat(outcome.out()).isEmpty();
    assertThat(outcome.err()).contains("key withdraw --even-if-unknown --hash ");
  }

  @Example
  void withdrawnKeyIsNoLongerInForce() {
    String key = field(runner.run("key", "grant", "--team=counters").out(), "key");
    runner.input = key + "\n";

    Outcome outcome = runner.run("key", "withdraw", "--key-from-stdin");

    assertThat(outcome.exitCode()).isZero();
    assertThat(outcome.out()).contains("of team counters").doesNotContain(key);
    assertThat(runner.run("config", "show").out()).doesNotContain("of team counters");
    assertThat(runner.log.text()).doesNotContain(key);
  }

  @Example
  void misspeltHashIsRefused() {
    String hash = "0".repeat(64);
    assertThat(runner.run("key", "withdraw", "--hash=" + hash).exitCode()).isEqualTo(1);
    assertThat(runner.run("key", "withdraw", "--hash=12").exitCode()).isEqualTo(2);
    assertThat(runner.run("key", "withdraw").exitCode()).isEqualTo(2);
    assertThat(runner.run("key", "withdraw", "--even-if-unknown", "--hash", hash).exitCode())
        .isZero();
  }
}
