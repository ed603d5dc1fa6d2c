/** Contains indexes of workers by free capacity, for all schedulers. */
package org.cicadaford.model.capacity;
