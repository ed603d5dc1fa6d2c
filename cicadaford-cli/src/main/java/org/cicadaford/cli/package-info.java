/** Command-line client {@code cicadaford}. */
package org.cicadaford.cli;
