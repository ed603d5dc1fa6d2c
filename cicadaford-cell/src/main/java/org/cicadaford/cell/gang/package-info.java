/**
 * Decides when waiting gangs can start, what they reserve until then, and when they lose it.
 *
 * <p>The package performs no input or output and knows nothing of the coordinator: workers, runs
 * and gangs are plain records, and the present time is an argument.
 */
package org.cicadaford.cell.gang;
