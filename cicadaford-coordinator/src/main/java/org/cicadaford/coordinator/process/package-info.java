/** Signals and logs of a process. */
package org.cicadaford.coordinator.process;
