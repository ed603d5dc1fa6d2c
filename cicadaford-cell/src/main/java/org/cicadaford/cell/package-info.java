/**
 * Decisions of the cell coordinator, which one entry instance of a cell runs at a time.
 *
 * <p>Nothing here does input or output: {@link org.cicadaford.cell.Coordinator} takes events with
 * the present time and returns the records to write and the actions to carry out.
 */
package org.cicadaford.cell;
