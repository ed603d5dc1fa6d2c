/**
 * Learns how long tasks run and how fast workers are, from the runs of the cell.
 *
 * <p>The classes perform no input or output, take the current time as an argument, and do not refer
 * to jobs, steps or placements. Their state is in memory; a new coordinator learns it again.
 */
package org.cicadaford.cell.learning;
