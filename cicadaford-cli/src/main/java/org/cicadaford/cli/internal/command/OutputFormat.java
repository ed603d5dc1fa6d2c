package org.cicadaford.cli.internal.command;

/** Forms in which a command prints its result. */
enum OutputFormat {
  /** One JSON object. */
  json,
  /** Lines for people. */
  text
}
