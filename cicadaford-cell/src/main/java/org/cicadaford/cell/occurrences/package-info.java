/** Sets of the occurrences of recurring jobs. */
package org.cicadaford.cell.occurrences;
