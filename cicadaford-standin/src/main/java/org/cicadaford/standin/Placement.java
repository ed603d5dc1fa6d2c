package org.cicadaford.standin;

import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskReport;
import org.cicadaford.model.TaskReport.State;
import org.cicadaford.model.WorkerCommand.Lease;
import org.cicadaford.model.WorkerCommand.Start;

/** Simulates a task placement on a worker; the worker synchronizes access to it. */
final class Placement {

  private static final long NO_END_MILLIS = Long.MAX_VALUE;

  private final Lease lease;
  private final Resources reserved;
  private final long startedAtMillis;
  private final long endsAtMillis;
  private final State endState;
  private final String endAnswer;
  private long leaseUntilMillis;
  private long throttleMillicores = Long.MAX_VALUE;
  private State state;
  private String answer = "";
  private long endedAtMillis;

  private Placement(Start start, Program program, long checkpointedMillis, long nowMillis) {
    this.lease = start.lease();
    this.reserved = start.reserved();
    this.startedAtMillis = nowMillis;
    this.endsAtMillis =
        program.runMillis() == NO_END_MILLIS
            ? NO_END_MILLIS
            : nowMillis + Math.max(0, program.runMillis() - checkpointedMillis);
    this.endState = program.endState();
    this.endAnswer = program.answer();
    this.leaseUntilMillis = start.leaseUntilMillis();
    this.state = State.RUNNING;
  }

  private Placement(Lease lease, String reason, long nowMillis) {
    this.lease = lease;
    this.reserved = Resources.NONE;
    this.startedAtMillis = 0;
    this.endsAtMillis = NO_END_MILLIS;
    this.endState = State.REFUSED;
    this.endAnswer = reason;
    this.state = State.REFUSED;
    this.answer = reason;
    this.endedAtMillis = nowMillis;
  }

  /** Defines the run time, end state and answer that a program string specifies. */
  private record Program(long runMillis, State endState, String answer) {

    static Program parse(String text) {
      String[] commandAndArgument = text.split(" ", 2);
      String argument = commandAndArgument.length == 2 ? commandAndArgument[1] : "";
      return switch (commandAndArgument[0]) {
        case "echo" -> new Program(0, State.COMPLETED, argument);
        case "sleep" -> new Program(Long.parseLong(argument), State.COMPLETED, "slept " + argument);
        case "service" -> new Program(NO_END_MILLIS, State.COMPLETED, "");
        case "fail" -> new Program(0, State.FAILED, "the program failed");
        default -> new Program(0, State.FAILED, "unknown program: " + text);
      };
    }
  }

  /**
   * Creates a running placement that resumes after {@code checkpointedMillis} of an earlier run.
   */
  static Placement started(Start start, long checkpointedMillis, boolean fail, long nowMillis) {
    Program program = Program.parse(fail ? "fail" : start.program());
    return new Placement(start, program, checkpointedMillis, nowMillis);
  }

  /** Creates a refused placement, so that no later start can run under its lease. */
  static Placement refused(Lease lease, String reason, long nowMillis) {
    return new Placement(lease, reason, nowMillis);
  }

  Lease lease() {
    return lease;
  }

  boolean isRunning() {
    return state == State.RUNNING;
  }

  boolean endedBefore(long millis) {
    return !isRunning() && endedAtMillis < millis;
  }

  long elapsedMillis(long nowMillis) {
    return nowMillis - startedAtMillis;
  }

  void renew(long untilMillis) {
    leaseUntilMillis = Math.max(leaseUntilMillis, untilMillis);
  }

  void throttle(long millicores) {
    throttleMillicores = millicores;
  }

  void stop(String reason, long nowMillis) {
    end(State.STOPPED, reason, nowMillis);
  }

  /** Ends the placement if its lease has expired or its program has finished. */
  void advance(long nowMillis) {
    if (isRunning() && leaseUntilMillis <= nowMillis && leaseUntilMillis < endsAtMillis) {
      end(State.STOPPED, "the lease ended", nowMillis);
    } else if (isRunning() && endsAtMillis <= nowMillis) {
      end(endState, endAnswer, nowMillis);
    }
  }

  private void end(State newState, String newAnswer, long nowMillis) {
    if (isRunning()) {
      state = newState;
      answer = newAnswer;
      endedAtMillis = nowMillis;
    }
  }

  TaskReport report(int usagePercent, long usageLagMillis, long nowMillis) {
    boolean usageAvailable = isRunning() && elapsedMillis(nowMillis) >= usageLagMillis;
    Resources usage =
        usageAvailable
            ? new Resources(
                Math.min(throttleMillicores, reserved.processorsMillicores() * usagePercent / 100),
                reserved.memoryMebibytes() * usagePercent / 100,
                reserved.acceleratorCount())
            : Resources.NONE;
    return new TaskReport(
        lease, state, answer, usage, startedAtMillis, endedAtMillis, leaseUntilMillis);
  }
}
