package org.cicadaford.cli.internal.command;

/** Defines the output formats of a command. */
enum OutputFormat {
  /** One JSON object. */
  json,
  /** Lines of text. */
  text
}
