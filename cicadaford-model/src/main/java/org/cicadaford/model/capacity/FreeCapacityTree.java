package org.cicadaford.model.capacity;

import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Indexes workers by free processors, with the maximum free memory of each subtree, to find the
 * best fit in logarithmic time.
 *
 * <p>The tree is a treap with priorities derived from worker ids, so that its shape is
 * deterministic.
 *
 * @param <T> type that represents a worker
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

    private void updateMaxMebibytes() {
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

  /** Creates an empty tree; {@code idOf} returns the id of a worker. */
  public FreeCapacityTree(Function<T, String> idOf) {
    this.idOf = idOf;
  }

  /** Scrambles all bits of a hash, as hashes of consecutive ids differ only in the lowest bits. */
  public static int scrambleHash(int hash) {
    int mixed = hash * 0x9E3779B9;
    mixed = (mixed ^ (mixed >>> 15)) * 0x85EBCA6B;
    return mixed ^ (mixed >>> 13);
  }

  /** Adds a worker with its free resources. */
  public void insert(T worker, long millicores, long mebibytes) {
    root = insert(root, newNode(worker, millicores, mebibytes));
  }

  private Node<T> newNode(T worker, long millicores, long mebibytes) {
    return new Node<>(worker, idOf.apply(worker), millicores, mebibytes);
  }

  private static <T> Node<T> insert(Node<T> node, Node<T> added) {
    if (node == null) {
      return added;
    }
    Node<T> subtreeRoot = node;
    if (added.compareTo(node) < 0) {
      node.left = insert(node.left, added);
      if (node.left.priority > node.priority) {
        subtreeRoot = node.left;
        node.left = subtreeRoot.right;
        subtreeRoot.right = node;
        node.updateMaxMebibytes();
      }
    } else {
      node.right = insert(node.right, added);
      if (node.right.priority > node.priority) {
        subtreeRoot = node.right;
        node.right = subtreeRoot.left;
        subtreeRoot.left = node;
        node.updateMaxMebibytes();
      }
    }
    subtreeRoot.updateMaxMebibytes();
    return subtreeRoot;
  }

  /** Removes a worker; the amounts must be those that it was added with. */
  public void remove(T worker, long millicores, long mebibytes) {
    root = remove(root, newNode(worker, millicores, mebibytes));
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
    node.updateMaxMebibytes();
    return node;
  }

  private static <T> Node<T> merge(Node<T> left, Node<T> right) {
    if (left == null || right == null) {
      return left == null ? right : left;
    }
    Node<T> subtreeRoot;
    if (left.priority > right.priority) {
      left.right = merge(left.right, right);
      subtreeRoot = left;
    } else {
      right.left = merge(left, right.left);
      subtreeRoot = right;
    }
    subtreeRoot.updateMaxMebibytes();
    return subtreeRoot;
  }

  /** Returns the maximum free processors of any worker, in millicores; 0 without workers. */
  public long maxFreeMillicores() {
    Node<T> node = root;
    while (node != null && node.right != null) {
      node = node.right;
    }
    return node == null ? 0 : node.millicores;
  }

  /** Returns the maximum free memory of any worker, in mebibytes; 0 without workers. */
  public long maxFreeMebibytes() {
    return root == null ? 0 : root.maxMebibytes;
  }

  /** Returns the allowed worker that fits with the least free processors, or null. */
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
   * Visits the workers in descending order of free processors until {@code visitor} returns false.
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
