package org.cicadaford.entry.zone;

import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.cicadaford.decision.AddressedCommand;
import org.cicadaford.decision.LeaseHandover;
import org.cicadaford.decision.ZoneState;
import org.cicadaford.entry.config.ConfigStore;
import org.cicadaford.entry.membership.MembershipPoller;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.entry.request.RequestLedgerService;
import org.cicadaford.entry.stream.LogWriter;
import org.cicadaford.entry.stream.StreamListener;
import org.cicadaford.entry.stream.StreamPosition;
import org.cicadaford.entry.worker.WorkerCommandSender;
import org.cicadaford.model.WorkerAnswer;
import org.cicadaford.model.ZoneRecord;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;

/** Runs the zone owner on its own thread and passes events to it through a bounded queue. */
public final class ZoneOwnerService
    implements StreamListener<ZoneRecord>, WorkerCommandSender.AnswerListener {

  /** Limit on queued events; excess answers are dropped and repeated by the next renewal. */
  private static final int EVENT_QUEUE_CAPACITY = 8_192;

  private static final long OWNER_POLL_MILLIS = 50;
  private static final long FOLLOWER_POLL_MILLIS = 250;
  private static final long QUEUE_FULL_WAIT_MILLIS = 5;
  private static final long HAND_OVER_WAIT_MILLIS = 2_000;

  private final ZoneOwner owner;
  private final InstantSource clock;
  private final EntryMetrics metrics;
  private final MpscBlockingConsumerArrayQueue<ZoneEvent> eventQueue =
      new MpscBlockingConsumerArrayQueue<>(EVENT_QUEUE_CAPACITY);
  private final Thread thread;
  private volatile boolean stopping;
  private volatile ZoneSummary summary;
  private volatile LeaseHandover lastHandOver;

  /** Creates a service that is not started. */
  public ZoneOwnerService(
      ZoneOwnerSettings settings,
      LogWriter writer,
      ConfigStore config,
      RequestLedgerService requests,
      MembershipPoller membership,
      WorkerCommandSender workerCommands,
      InstantSource clock,
      RandomGenerator random,
      EntryMetrics metrics) {
    this.clock = clock;
    this.metrics = metrics;
    this.owner =
        new ZoneOwner(
            settings, writer, config, requests, membership, workerCommands, this, random, metrics);
    this.summary = owner.summary();
    this.thread = new Thread(this::run, "zone-owner");
  }

  /** Starts the owner's thread. */
  public void start() {
    thread.start();
  }

  /** Gives up ownership, waits for the pending append, and ends the thread. */
  public void stop() throws InterruptedException {
    putBlocking(new ZoneEvent.Stop());
    stopping = true;
    thread.join(HAND_OVER_WAIT_MILLIS + 3_000);
  }

  /** Returns a summary of the zone. */
  public ZoneSummary summary() {
    return summary;
  }

  /**
   * Reads from the zone's state on the owner's thread. Completes exceptionally with {@link
   * ZoneBusyException} if the event queue is full.
   */
  public <T> CompletableFuture<T> query(Function<ZoneState, T> reader) {
    CompletableFuture<T> result = new CompletableFuture<>();
    ZoneEvent.Query query = new ZoneEvent.Query(state -> complete(result, reader, state));
    if (stopping || !eventQueue.offer(query)) {
      result.completeExceptionally(new ZoneBusyException());
    }
    return result;
  }

  private static <T> void complete(
      CompletableFuture<T> result, Function<ZoneState, T> reader, ZoneState state) {
    try {
      result.complete(reader.apply(state));
    } catch (RuntimeException e) {
      result.completeExceptionally(e);
    }
  }

  @Override
  public void onRecord(long offset, ZoneRecord record, long readAtMillis)
      throws InterruptedException {
    putBlocking(new ZoneEvent.RecordRead(offset, record, readAtMillis));
  }

  @Override
  public void onPage(StreamPosition position) throws InterruptedException {
    putBlocking(new ZoneEvent.PageRead(position));
  }

  @Override
  public void onRecordsExpired(long earliestOffset) throws InterruptedException {
    putBlocking(new ZoneEvent.RecordsExpired());
  }

  @Override
  public void onAnswer(AddressedCommand order, WorkerAnswer answer, long sentAtMillis) {
    offer(new ZoneEvent.WorkerAnswered(order, answer, sentAtMillis));
  }

  @Override
  public void onUnreachable(String workerId) {
    offer(new ZoneEvent.WorkerUnreachable(workerId));
  }

  /** Handles a heartbeat of a peer that owns the zone in {@code epoch}. */
  public void onPeerHeartbeat(long epoch) {
    offer(new ZoneEvent.PeerHeartbeat(epoch, clock.millis()));
  }

  /** Handles a hand-over from the former owner of the zone. */
  public void onPeerHandOver(LeaseHandover handOver) {
    offer(new ZoneEvent.PeerHandOver(handOver, clock.millis()));
  }

  /** Returns the hand-over to send to peers after this instance stopped acting as owner. */
  public Optional<LeaseHandover> lastHandOver() {
    return Optional.ofNullable(lastHandOver);
  }

  private void offer(ZoneEvent event) {
    if (!eventQueue.offer(event)) {
      metrics.countFault("zone-ring-full");
    }
  }

  /** Blocks while the queue is full, which slows down the stream instead of losing records. */
  private void putBlocking(ZoneEvent event) throws InterruptedException {
    while (!stopping && !eventQueue.offer(event)) {
      Thread.sleep(QUEUE_FULL_WAIT_MILLIS);
    }
  }

  private void run() {
    try {
      while (!stopping) {
        processEvents();
      }
      long untilMillis = clock.millis() + HAND_OVER_WAIT_MILLIS;
      while (!owner.isIdle() && clock.millis() < untilMillis) {
        processEvents();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void processEvents() throws InterruptedException {
    try {
      processEventBatch();
    } catch (RuntimeException e) {
      // Gives up the zone, so that another instance, which may not have the fault, takes it over.
      metrics.countFault("zone-owner-exception");
      owner.onFailure(e, clock.millis());
    }
  }

  private void processEventBatch() throws InterruptedException {
    long pollMillis = summary.owner() ? OWNER_POLL_MILLIS : FOLLOWER_POLL_MILLIS;
    ZoneEvent event = eventQueue.poll(pollMillis, TimeUnit.MILLISECONDS);
    for (int count = 0; event != null && count < EVENT_QUEUE_CAPACITY; count++) {
      owner.onEvent(event, clock.millis());
      event = eventQueue.poll();
    }
    if (event != null) {
      owner.onEvent(event, clock.millis());
    }
    owner.runDueWork(clock.millis());
    summary = owner.summary();
    lastHandOver = owner.lastHandOver();
  }
}
