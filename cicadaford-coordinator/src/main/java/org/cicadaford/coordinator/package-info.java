/**
 * Provides the services of an instance in a cell with one coordinator.
 *
 * <p>They run on one event loop, because an instance has less than one core and each thread switch
 * costs processor time.
 */
package org.cicadaford.coordinator;
