package org.cicadaford.decision;

import java.util.function.Predicate;

/**
 * Workers ordered by free processors, with the most free memory of each subtree, so that the best
 * fit is found in logarithmic time.
 *
 * <p>A treap whose priorities come from the workers' ids; its shape is the same for every reader.
 */
final class FreeCapacityTree {

  private static final class Node {
    private final WorkerSlot slot;
    private final long millicores;
    private final long mebibytes;
    private final int priority;
    private long mostMebibytes;
    private Node left;
    private Node right;

    private Node(WorkerSlot slot, long millicores, long mebibytes) {
      this.slot = slot;
      this.millicores = millicores;
      this.mebibytes = mebibytes;
      this.priority = mix(slot.workerId.hashCode());
      this.mostMebibytes = mebibytes;
    }

    private int compareTo(Node other) {
      int order = Long.compare(millicores, other.millicores);
      if (order == 0) {
        order = Long.compare(mebibytes, other.mebibytes);
      }
      return order != 0 ? order : slot.workerId.compareTo(other.slot.workerId);
    }

    private void refresh() {
      mostMebibytes = mebibytes;
      if (left != null) {
        mostMebibytes = Math.max(mostMebibytes, left.mostMebibytes);
      }
      if (right != null) {
        mostMebibytes = Math.max(mostMebibytes, right.mostMebibytes);
      }
    }
  }

  private Node root;

  /** Spreads the bits of a hash, which for consecutive ids differ only in the lowest ones. */
  static int mix(int hash) {
    int mixed = hash * 0x9E3779B9;
    mixed = (mixed ^ (mixed >>> 15)) * 0x85EBCA6B;
    return mixed ^ (mixed >>> 13);
  }

  void insert(WorkerSlot slot, long millicores, long mebibytes) {
    root = insert(root, new Node(slot, millicores, mebibytes));
  }

  private static Node insert(Node node, Node added) {
    if (node == null) {
      return added;
    }
    Node top = node;
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

  void remove(WorkerSlot slot, long millicores, long mebibytes) {
    root = remove(root, new Node(slot, millicores, mebibytes));
  }

  private static Node remove(Node node, Node removed) {
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

  private static Node merge(Node left, Node right) {
    if (left == null || right == null) {
      return left == null ? right : left;
    }
    Node top;
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
  long mostMillicores() {
    Node node = root;
    while (node != null && node.right != null) {
      node = node.right;
    }
    return node == null ? 0 : node.millicores;
  }

  /** Returns the most free memory of any worker, in mebibytes; 0 without workers. */
  long mostMebibytes() {
    return root == null ? 0 : root.mostMebibytes;
  }

  /** Returns the allowed worker with the least free processors that has room, or null. */
  WorkerSlot smallest(long millicores, long mebibytes, Predicate<WorkerSlot> allowed) {
    return smallest(root, millicores, mebibytes, allowed);
  }

  private static WorkerSlot smallest(
      Node node, long millicores, long mebibytes, Predicate<WorkerSlot> allowed) {
    if (node == null || node.mostMebibytes < mebibytes) {
      return null;
    }
    if (node.millicores >= millicores) {
      WorkerSlot found = smallest(node.left, millicores, mebibytes, allowed);
      if (found != null) {
        return found;
      }
      if (node.mebibytes >= mebibytes && allowed.test(node.slot)) {
        return node.slot;
      }
    }
    return smallest(node.right, millicores, mebibytes, allowed);
  }
}
