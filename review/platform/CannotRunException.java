package org.cicadaford.adapter.standin;

/** Signals that a case could not run, which says nothing about the rule. */
final class CannotRunException extends Exception {
  private static final long serialVersionUID = 1L;

  CannotRunException(String message) {
    super(message);
  }
}
