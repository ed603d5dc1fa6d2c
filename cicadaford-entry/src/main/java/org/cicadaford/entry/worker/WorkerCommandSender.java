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
 * Sends commands to workers and reports their answers to a listener.
 *
 * <p>The number of queued and unanswered commands is limited. A command is not sent again while an
 * equal one is unanswered.
 */
public final class WorkerCommandSender {

  /** Limit on queued commands. */
  public static final int QUEUE_CAPACITY = 4_096;

  /** Limit on unanswered commands; enough for lease renewals and starts of 530 workers. */
  public static final int MAX_UNANSWERED = 2_048;

  private final WorkerService workers;
  private final InstantSource clock;
  private final EntryMetrics metrics;
  private final int maxUnanswered;
  private final MpscBlockingConsumerArrayQueue<QueuedCommand> queue;
  private final Set<CommandKey> unanswered = ConcurrentHashMap.newKeySet();
  private final Map<String, Member> workersById = new ConcurrentHashMap<>();
  private final Thread thread;
  private volatile boolean stopping;

  /** Receives the outcomes of commands, on any thread. */
  public interface AnswerListener {

    /** Handles the answer to a command that was sent at {@code sentAtMillis}. */
    void onAnswer(AddressedCommand order, WorkerAnswer answer, long sentAtMillis);

    /** Handles a worker that did not answer. */
    void onUnreachable(String workerId);
  }

  private record QueuedCommand(Member worker, AddressedCommand order, AnswerListener listener) {}

  private record CommandKey(String workerId, Class<?> kind, Object subject) {}

  /** Creates a sender that is not started. */
  public WorkerCommandSender(
      WorkerService workers,
      int queueCapacity,
      int maxUnanswered,
      InstantSource clock,
      EntryMetrics metrics) {
    this.workers = workers;
    this.clock = clock;
    this.metrics = metrics;
    this.maxUnanswered = maxUnanswered;
    this.queue = new MpscBlockingConsumerArrayQueue<>(queueCapacity);
    this.thread = new Thread(this::run, "worker-link");
  }

  /** Starts the sender's thread. */
  public void start() {
    thread.start();
  }

  /** Stops the sender and drops the queued commands. */
  public void stop() throws InterruptedException {
    stopping = true;
    thread.join(5_000);
  }

  /** Updates the addresses of workers; a worker missing from the list keeps its last address. */
  public void updateAddresses(Iterable<Member> members) {
    members.forEach(member -> workersById.put(member.instanceId(), member));
  }

  /** Queues a command and returns whether it will be sent. */
  public boolean send(AddressedCommand order, AnswerListener listener) {
    String kind = kindOf(order.command());
    Member worker = workersById.get(order.workerId());
    if (worker == null) {
      metrics.countWorkerCommand(kind, "no-address");
      listener.onUnreachable(order.workerId());
      return false;
    }
    CommandKey key = keyOf(order.workerId(), order.command());
    if (unanswered.size() >= maxUnanswered || !unanswered.add(key)) {
      metrics.countWorkerCommand(kind, "held-back");
      return false;
    }
    if (!queue.offer(new QueuedCommand(worker, order, listener))) {
      unanswered.remove(key);
      metrics.countWorkerCommand(kind, "held-back");
      return false;
    }
    return true;
  }

  private void run() {
    try {
      while (!stopping) {
        QueuedCommand next = queue.poll(100, TimeUnit.MILLISECONDS);
        if (next != null) {
          sendNow(next);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void sendNow(QueuedCommand next) {
    long sentAtMillis = clock.millis();
    workers
        .send(next.worker(), next.order().command())
        .whenComplete((answer, failure) -> onFinished(next, answer, sentAtMillis));
  }

  private void onFinished(QueuedCommand sent, WorkerAnswer answer, long sentAtMillis) {
    AddressedCommand order = sent.order();
    unanswered.remove(keyOf(order.workerId(), order.command()));
    metrics.countWorkerCommand(
        kindOf(order.command()), answer == null ? "unreachable" : "answered");
    if (answer == null) {
      sent.listener().onUnreachable(order.workerId());
    } else {
      sent.listener().onAnswer(order, answer, sentAtMillis);
    }
  }

  private static CommandKey keyOf(String workerId, WorkerCommand command) {
    return switch (command) {
      case WorkerCommand.Start start -> new CommandKey(workerId, start.getClass(), start.lease());
      case WorkerCommand.Renew renew -> new CommandKey(workerId, renew.getClass(), "");
      case WorkerCommand.Checkpoint checkpoint ->
          new CommandKey(workerId, checkpoint.getClass(), checkpoint.lease());
      case WorkerCommand.Throttle throttle ->
          new CommandKey(workerId, throttle.getClass(), throttle.lease());
      case WorkerCommand.Stop stop -> new CommandKey(workerId, stop.getClass(), stop.lease());
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
