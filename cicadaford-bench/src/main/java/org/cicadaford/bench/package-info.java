/** Benchmarks of decisions and of whole processes. */
package org.cicadaford.bench;
