package org.cicadaford.entry.worker;

import java.time.InstantSource;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.cicadaford.decision.AddressedCommand;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.model.WorkerAnswer;
import org.cicadaford.model.WorkerCommand;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.WorkerService;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;

/**
 * Sends commands to workers and hands their answers back.
 *
 * <p>The number of commands that wait or are unanswered is bounded. A command that is unanswered is
 * not sent a second time meanwhile.
 */
public final class WorkerLink {

  /** Commands that may wait to be sent. */
  public static final int RING_SIZE = 4_096;

  /** Commands that may be unanswered at once; renewals of 530 workers and their starts fit in. */
  public static final int MAX_IN_FLIGHT = 2_048;

  private final WorkerService workers;
  private final InstantSource clock;
  private final EntryMetrics metrics;
  private final int maxInFlight;
  private final MpscBlockingConsumerArrayQueue<Addressed> ring;
  private final Set<Key> inFlight = ConcurrentHashMap.newKeySet();
  private final Map<String, Member> addresses = new ConcurrentHashMap<>();
  private final Thread thread;
  private volatile boolean stopping;

  /** Receives what became of a command, on any thread. */
  public interface AnswerListener {

    /** Takes in the answer to a command that was sent at {@code sentAtMillis}. */
    void onAnswer(AddressedCommand order, WorkerAnswer answer, long sentAtMillis);

    /** Takes in that a worker did not answer. */
    void onUnreachable(String workerId);
  }

  private record Addressed(Member worker, AddressedCommand order, AnswerListener listener) {}

  private record Key(String workerId, Class<?> kind, Object subject) {}

  /** Creates a link that is not started. */
  public WorkerLink(
      WorkerService workers,
      int ringSize,
      int maxInFlight,
      InstantSource clock,
      EntryMetrics metrics) {
    this.workers = workers;
    this.clock = clock;
    this.metrics = metrics;
    this.maxInFlight = maxInFlight;
    this.ring = new MpscBlockingConsumerArrayQueue<>(ringSize);
    this.thread = new Thread(this::run, "worker-link");
  }

  /** Starts the link's thread. */
  public void start() {
    thread.start();
  }

  /** Stops the link; commands that wait are dropped. */
  public void stop() throws InterruptedException {
    stopping = true;
    thread.join(5_000);
  }

  /** Takes over addresses of workers; one that dropped off the list keeps its last address. */
  public void learn(Iterable<Member> members) {
    members.forEach(member -> addresses.put(member.instanceId(), member));
  }

  /** Hands in a command and returns whether it will be sent. */
  public boolean send(AddressedCommand order, AnswerListener listener) {
    String kind = kindOf(order.command());
    Member worker = addresses.get(order.workerId());
    if (worker == null) {
      metrics.countWorkerCommand(kind, "no-address");
      listener.onUnreachable(order.workerId());
      return false;
    }
    Key key = keyOf(order.workerId(), order.command());
    if (inFlight.size() >= maxInFlight || !inFlight.add(key)) {
      metrics.countWorkerCommand(kind, "held-back");
      return false;
    }
    if (!ring.offer(new Addressed(worker, order, listener))) {
      inFlight.remove(key);
      metrics.countWorkerCommand(kind, "held-back");
      return false;
    }
    return true;
  }

  private void run() {
    try {
      while (!stopping) {
        Addressed next = ring.poll(100, TimeUnit.MILLISECONDS);
        if (next != null) {
          sendNow(next);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void sendNow(Addressed next) {
    long sentAtMillis = clock.millis();
    workers
        .send(next.worker(), next.order().command())
        .whenComplete((answer, failure) -> finish(next, answer, sentAtMillis));
  }

  private void finish(Addressed sent, WorkerAnswer answer, long sentAtMillis) {
    AddressedCommand order = sent.order();
    inFlight.remove(keyOf(order.workerId(), order.command()));
    metrics.countWorkerCommand(
        kindOf(order.command()), answer == null ? "unreachable" : "answered");
    if (answer == null) {
      sent.listener().onUnreachable(order.workerId());
    } else {
      sent.listener().onAnswer(order, answer, sentAtMillis);
    }
  }

  private static Key keyOf(String workerId, WorkerCommand command) {
    return switch (command) {
      case WorkerCommand.Start start -> new Key(workerId, start.getClass(), start.lease());
      case WorkerCommand.Renew renew -> new Key(workerId, renew.getClass(), "");
      case WorkerCommand.Checkpoint checkpoint ->
          new Key(workerId, checkpoint.getClass(), checkpoint.lease());
      case WorkerCommand.Throttle throttle ->
          new Key(workerId, throttle.getClass(), throttle.lease());
      case WorkerCommand.Stop stop -> new Key(workerId, stop.getClass(), stop.lease());
    };
  }

  private static String kindOf(WorkerCommand command) {
    return switch (command) {
      case WorkerCommand.Start start -> "start";
      case WorkerCommand.Renew renew -> "renew";
      case WorkerCommand.Checkpoint checkpoint -> "checkpoint";
      case WorkerCommand.Throttle throttle -> "throttle";
      case WorkerCommand.Stop stop -> "stop";
    };
  }
}
