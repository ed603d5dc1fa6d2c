/** Indexes of workers by their free capacity, for all schedulers. */
package org.cicadaford.model.capacity;
