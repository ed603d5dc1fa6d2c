package org.cicadaford.model.capacity;

import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Workers ordered by free processors, with the most free memory of each subtree, so that the best
 * fit is found in logarithmic time.
 *
 * <p>A treap whose priorities come from the workers' ids; its shape is the same for every reader.
 *
 * @param <T> what stands for a worker
 */
public final class FreeCapacityTree<T> {

  private static final class Node<T> {
    private final T worker;
    private final String id;
    private final long millicores;
    private final long mebibytes;
    private final int priority;
    private long maxMebibytes;
    private Node<T> left;
    private Node<T> right;

    private Node(T worker, String id, long millicores, long mebibytes) {
      this.worker = worker;
      this.id = id;
      this.millicores = millicores;
      this.mebibytes = mebibytes;
      this.priority = scrambleHash(id.hashCode());
      this.maxMebibytes = mebibytes;
    }

    private int compareTo(Node<T> other) {
      int order = Long.compare(millicores, other.millicores);
      if (order == 0) {
        order = Long.compare(mebibytes, other.mebibytes);
      }
      return order != 0 ? order : id.compareTo(other.id);
    }

    private void refresh() {
      maxMebibytes = mebibytes;
      if (left != null) {
        maxMebibytes = Math.max(maxMebibytes, left.maxMebibytes);
      }
      if (right != null) {
        maxMebibytes = Math.max(maxMebibytes, right.maxMebibytes);
      }
    }
  }

  private final Function<T, String> idOf;
  private Node<T> root;

  /** Creates an empty tree of workers that {@code idOf} names. */
  public FreeCapacityTree(Function<T, String> idOf) {
    this.idOf = idOf;
  }

  /** Spreads the bits of a hash, which for consecutive ids differ only in the lowest ones. */
  public static int scrambleHash(int hash) {
    int mixed = hash * 0x9E3779B9;
    mixed = (mixed ^ (mixed >>> 15)) * 0x85EBCA6B;
    return mixed ^ (mixed >>> 13);
  }

  /** Adds a worker with its free amounts. */
  public void insert(T worker, long millicores, long mebibytes) {
    root = insert(root, node(worker, millicores, mebibytes));
  }

  private Node<T> node(T worker, long millicores, long mebibytes) {
    return new Node<>(worker, idOf.apply(worker), millicores, mebibytes);
  }

  private static <T> Node<T> insert(Node<T> node, Node<T> added) {
    if (node == null) {
      return added;
    }
    Node<T> top = node;
    if (added.compareTo(node) < 0) {
      node.left = insert(node.left, added);
      if (node.left.priority > node.priority) {
        top = node.left;
        node.left = top.right;
        top.right = node;
        node.refresh();
      }
    } else {
      node.right = insert(node.right, added);
      if (node.right.priority > node.priority) {
        top = node.right;
        node.right = top.left;
        top.left = node;
        node.refresh();
      }
    }
    top.refresh();
    return top;
  }

  /** Removes a worker; the amounts are those that it was added with. */
  public void remove(T worker, long millicores, long mebibytes) {
    root = remove(root, node(worker, millicores, mebibytes));
  }

  private static <T> Node<T> remove(Node<T> node, Node<T> removed) {
    if (node == null) {
      return null;
    }
    int order = removed.compareTo(node);
    if (order == 0) {
      return merge(node.left, node.right);
    }
    if (order < 0) {
      node.left = remove(node.left, removed);
    } else {
      node.right = remove(node.right, removed);
    }
    node.refresh();
    return node;
  }

  private static <T> Node<T> merge(Node<T> left, Node<T> right) {
    if (left == null || right == null) {
      return left == null ? right : left;
    }
    Node<T> top;
    if (left.priority > right.priority) {
      left.right = merge(left.right, right);
      top = left;
    } else {
      right.left = merge(left, right.left);
      top = right;
    }
    top.refresh();
    return top;
  }

  /** Returns the most free processors of any worker, in millicores; 0 without workers. */
  public long maxFreeMillicores() {
    Node<T> node = root;
    while (node != null && node.right != null) {
      node = node.right;
    }
    return node == null ? 0 : node.millicores;
  }

  /** Returns the most free memory of any worker, in mebibytes; 0 without workers. */
  public long maxFreeMebibytes() {
    return root == null ? 0 : root.maxMebibytes;
  }

  /** Returns the allowed worker with the least free processors that has room, or null. */
  public T findBestFit(long millicores, long mebibytes, Predicate<T> allowed) {
    return findBestFit(root, millicores, mebibytes, allowed);
  }

  private static <T> T findBestFit(
      Node<T> node, long millicores, long mebibytes, Predicate<T> allowed) {
    if (node == null || node.maxMebibytes < mebibytes) {
      return null;
    }
    if (node.millicores >= millicores) {
      T found = findBestFit(node.left, millicores, mebibytes, allowed);
      if (found != null) {
        return found;
      }
      if (node.mebibytes >= mebibytes && allowed.test(node.worker)) {
        return node.worker;
      }
    }
    return findBestFit(node.right, millicores, mebibytes, allowed);
  }

  /**
   * Visits the workers from the one with the most free processors on, until {@code visitor} returns
   * false.
   */
  public void visitLargestFirst(Predicate<T> visitor) {
    visitLargestFirst(root, visitor);
  }

  private static <T> boolean visitLargestFirst(Node<T> node, Predicate<T> visitor) {
    return node == null
        || visitLargestFirst(node.right, visitor)
            && visitor.test(node.worker)
            && visitLargestFirst(node.left, visitor);
  }
}
