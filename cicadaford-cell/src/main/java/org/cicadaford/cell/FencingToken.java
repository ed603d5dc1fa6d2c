package org.cicadaford.cell;

/**
 * The fencing token of an order to a worker.
 *
 * <p>The offset grows with each incarnation of the worker that the coordinator learns of, and with
 * the first failed renewal after an answer, as the worker may have restarted. A worker that checks
 * tokens thus refuses the orders to its earlier incarnations from the first order to the present
 * one on.
 *
 * @param epoch epoch of the coordinator
 * @param offset difference between the token and the epoch, below {@link #COUNT_PER_EPOCH}
 */
public record FencingToken(long epoch, int offset) {

  /**
   * Number of tokens of an epoch; the next epoch is higher than all of them. A worker that restarts
   * or loses a renewal every 3 s uses them up in two days. From then on only stops keep it from
   * carrying out orders to its earlier incarnations.
   */
  public static final int COUNT_PER_EPOCH = 1 << 16;

  /** Returns the number that the worker compares. */
  public long value() {
    return epoch + offset;
  }
}
