package org.cicadaford.cli.internal.command;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cicadaford.cli.CommandRunner;
import org.cicadaford.cli.CommandRunner.Outcome;
import org.cicadaford.model.ConfigRecord.ZoneBroughtIn;
import org.cicadaford.model.ConfigRecord.ZoneTakenOut;

/** Guards against operators who undo each other's change of a zone without noticing. */
class ZoneChangeCommandTest {

  private final CommandRunner runner = new CommandRunner();

  ZoneChangeCommandTest() {
    runner.run("publish", CommandRunner.directoryWith(CommandRunner.describing("a")).toString());
  }

  @Example
  void zoneIsTakenOutAndReturnedAndRepeatsChangeNothing() {
    assertThat(runner.run("zone", "out", "Kolkata").out()).contains("out of service; version 1");
    assertThat(runner.run("zone", "out", "Kolkata").out()).contains("nothing was changed");
    assertThat(runner.run("config", "show").out()).contains("zone Kolkata: out since version 1");
    assertThat(runner.run("zone", "in", "Kolkata").out()).contains("in service; version 2");
    assertThat(runner.log.entries).hasSize(3);
  }

  @Example
  void secondOfTwoOperatorsIsToldOfTheFirst() {
    runner.log.add(new ZoneTakenOut("first", "Kolkata", -1));
    runner.log.beforeAppend =
        () -> {
          runner.log.add(new ZoneBroughtIn("x", "Kolkata", 1));
          runner.log.add(new ZoneTakenOut("y", "Kolkata", 2));
        };

    Outcome outcome = runner.run("zone", "in", "Kolkata");

    assertThat(outcome.exitCode()).isEqualTo(1);
    assertThat(outcome.err())
        .contains("changed by another operator", "It is out of service since version 3");
    assertThat(runner.run("config", "show").out()).contains("zone Kolkata: out since version 3");
  }

  @Example
  void changeFromAnOldVersionIsRefused() {
    runner.run("zone", "out", "Kolkata");

    Outcome outcome = runner.run("zone", "in", "Kolkata", "--base-version=-1");

    assertThat(outcome.exitCode()).isEqualTo(1);
    assertThat(outcome.err()).contains("its last change is version 1, not -1");
  }

  @Example
  void accentsInTwoCodePointsNameTheSameZone() {
    assertThat(runner.run("zone", "out", "Finiste\u0300re").err()).isEmpty();
    assertThat(runner.run("config", "show").out()).contains("zone Finistère: out");
  }

  @Example
  void misspeltZoneIsRefused() {
    Outcome outcome = runner.run("zone", "out", "Kolkatta");

    assertThat(outcome.exitCode()).isEqualTo(1);
    assertThat(outcome.err()).contains("known zones are Finistère, Kolkata, Siliguri.");
    assertThat(runner.log.entries).hasSize(1);
    assertThat(runner.run("zone", "out", "Siliguri").exitCode()).isZero();
    assertThat(runner.run("zone", "out", "--even-if-unknown", "Kolkatta").exitCode()).isZero();
  }
}
