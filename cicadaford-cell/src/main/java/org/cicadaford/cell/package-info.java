/**
 * Scheduling decisions of the cell coordinator, which runs on one instance of the cell at a time.
 *
 * <p>This package performs no input or output: {@link org.cicadaford.cell.Coordinator} receives
 * events with the current time and returns the records to write and the actions to carry out.
 */
package org.cicadaford.cell;
