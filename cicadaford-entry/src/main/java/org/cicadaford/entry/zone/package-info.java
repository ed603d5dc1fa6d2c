/** Ownership of an availability zone and its state. */
package org.cicadaford.entry.zone;
