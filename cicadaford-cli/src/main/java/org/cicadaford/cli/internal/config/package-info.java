/** Reads and changes the configuration through the log. */
package org.cicadaford.cli.internal.config;
