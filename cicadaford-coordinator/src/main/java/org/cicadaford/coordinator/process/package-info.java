/** Provides signal handling and logging for a process. */
package org.cicadaford.coordinator.process;
