/** Prometheus metrics of an entry daemon. */
package org.cicadaford.entry.metrics;
