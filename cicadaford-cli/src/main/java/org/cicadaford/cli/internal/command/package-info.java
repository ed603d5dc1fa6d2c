/** Commands of the command line. */
package org.cicadaford.cli.internal.command;
