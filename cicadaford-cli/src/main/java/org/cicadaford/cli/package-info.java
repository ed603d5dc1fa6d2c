/** The command {@code cicadaford}. */
package org.cicadaford.cli;
